"""The watch over discovery."""

import asyncio

import pytest

from rushmux.gateway import discovery as watches
from rushmux.gateway.discovery import Watch
from rushmux.standins.platform import Discovery


def row(name, state="up"):
    return {
        "id": name,
        "addr": "127.0.0.1:6379",
        "zone": "a",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class Log:
    def info(self, event, **fields):
        """Not looked at here."""

    warning = info


def played(story, monkeypatch):
    monkeypatch.setattr(watches, "WAIT", 0.3)
    monkeypatch.setattr(watches, "SLACK", 0.15)

    async def whole():
        source, told = Discovery(), []
        await source.open()
        source.put(row("a"), row("b"))
        watch = Watch(
            asyncio.get_running_loop(),
            ("127.0.0.1", source.port),
            Log(),
            lambda whole, members: told.append((whole, [(one.node, one.state) for one in members])),
        )
        watch.start()
        try:
            return await story(source, watch, told)
        finally:
            watch.close()
            source.close()
            await asyncio.sleep(0.01)

    return asyncio.run(whole())


WHOLE = (True, [("a", "ready"), ("b", "ready")])


def test_the_whole_list_then_each_change_and_never_200_ms_between_calls(monkeypatch):
    async def story(source, watch, told):
        await asyncio.sleep(0.1)
        source.put(row("b", "draining"))
        await asyncio.sleep(0.9)
        source.put(row("b", "removed"), row("c"))
        await asyncio.sleep(0.1)
        return told, [target for _, target in source.calls], [at for at, _ in source.calls]

    told, targets, times = played(story, monkeypatch)
    assert told == [WHOLE, (False, [("b", "draining")]), (False, [("b", "gone"), ("c", "ready")])]
    assert targets[0] == watches.PATH and all("after=" in target for target in targets[1:])
    assert max(late - early for early, late in zip(times, times[1:])) < 0.3 + 0.2


def test_silence_is_noticed_and_what_was_missed_is_told(monkeypatch):
    async def story(source, watch, told):
        await asyncio.sleep(0.1)
        source.silent = True
        source.put(row("a", "draining"))
        await asyncio.sleep(0.8)
        calls = len(source.calls)
        source.silent = False
        await asyncio.sleep(0.3)
        return told, calls

    told, calls = played(story, monkeypatch)
    assert told == [WHOLE, (False, [("a", "draining")])] and calls > 3


@pytest.mark.parametrize(
    "broken", [b"", b"{", b"[]", b"7", b'{"version":3,"full":true,"servers":[{"id":"x"}]}']
)
def test_an_answer_that_makes_no_sense_leaves_the_last_list(monkeypatch, broken):
    async def story(source, watch, told):
        await asyncio.sleep(0.1)
        source.broken = broken
        source.put(row("c"))
        await asyncio.sleep(0.3)
        before = list(told)
        source.broken = None
        await asyncio.sleep(0.3)
        return before, told

    before, told = played(story, monkeypatch)
    assert before == [WHOLE] and told[-1] == (False, [("c", "ready")])


def test_another_address_is_gone_over_to_at_once_without_losing_a_change(monkeypatch):
    async def story(source, watch, told):
        await asyncio.sleep(0.1)
        other = Discovery()
        await other.open()
        other.version, other.rows = source.version, dict(source.rows)
        other.put(row("c"))  # told by the new one only
        watch.move(("127.0.0.1", other.port))
        watch.move(("127.0.0.1", other.port))
        await asyncio.sleep(0.15)
        calls = len(source.calls)
        await asyncio.sleep(0.4)
        still = len(source.calls) == calls
        other.close()
        return told, still

    told, still = played(story, monkeypatch)
    assert told == [WHOLE, (False, [("c", "ready")])] and still


def test_an_address_where_nobody_answers_is_tried_until_somebody_does(monkeypatch):
    async def story(source, watch, told):
        await asyncio.sleep(0.1)
        watch.move(("127.0.0.1", 1))
        await asyncio.sleep(0.2)
        source.put(row("a", "draining"))
        watch.move(("127.0.0.1", source.port))
        await asyncio.sleep(0.1)
        return told[-1]

    assert played(story, monkeypatch) == (False, [("a", "draining")])
