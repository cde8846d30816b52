"""Stories of faults between real processes, and their judge.  All of them: `rushmux rig --all`."""

import asyncio

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.standins import fault_injection
from rushmux.standins.fault_proxy import HOST, Relays
from rushmux.standins.policy_history_checker import ActivePolicy, check_answers, check_operations

# Those in which most goes wrong; some twenty more are played by hand.
PLAYED = (
    "leader-at-stage",
    "leader-at-decision",
    "edge-stopped",
    "edge-cut-off",
    "minority-believes",
    "leader-stopped",
    "disk-full-at-stage",
    "not-proved",
    "planner-empty-disk",
    "planner-torn-log",
    "on-top-of-one-that-hangs",
    "forth-and-back",
)


def test_stories_keep_every_rule(tmp_path):
    found = asyncio.run(
        fault_injection.together([fault_injection.load(name) for name in PLAYED], tmp_path, 4, 1)
    )
    assert {told.story: told.breaches for told in found if told.breaches} == {}
    for told_ in found:
        assert told_.facts["answers"] > 100, told_
    # The limit is asked for and used, or its rule was not tried.
    assert max(count for told_ in found for name, count in told_.facts.items() if "used" in name) > 40


def test_what_a_story_cannot_mean_is_told_with_its_line():
    for text, wrong in (
        ("at 2 explode leader", "no verb 'explode'"),
        ("wibble", "no line of this form"),
        ("at soon kill leader", "could not convert"),
        ("edges many", "invalid literal"),
        ("expect down", "no line of this form"),
        ("on propose", "out of range"),
    ):
        with pytest.raises(fault_injection.BadStory, match=wrong):
            fault_injection.parse(text)
    result = CliRunner().invoke(main, ["rig", "no-such-story"])
    assert result.exit_code == 1 and "cannot be read" in result.output and "Traceback" not in result.output
    assert "there are" in CliRunner().invoke(main, ["rig"]).output


def execution(at, number, op="e.1.1/s", units=10.0, folder="a", count=0):
    return {
        "kind": "execution",
        "at": at,
        "op": op,
        "policy": number,
        "units": units,
        "volume": folder,
        "execution": count,
    }


def test_the_judge_finds_what_must_never_be():
    force = {1: ActivePolicy(0.0, {"a": (10.0, 20.0)}), 2: ActivePolicy(10.0, {"a": (2.0, 4.0)})}
    from collections import Counter

    assert check_operations([execution(1.0, 1), execution(1.1, 1, "e.1.2/s")], force, Counter()) == []
    assert "not decided" in check_operations([execution(5.0, 2)], force, Counter())[0]
    assert "not decided" in check_operations([execution(5.0, 9)], force, Counter())[0]
    apart = [execution(11.0, 1), execution(11.1, 2, count=1)]
    assert "under 1 and 2" in check_operations(apart, force, Counter())[0]
    many = [execution(11.0 + place / 100, 2, f"e.1.{place}/s", 1.0) for place in range(8)]
    assert "units at once under 2" in check_operations(many, force, Counter())[0]
    turned = [{"kind": "fenced", "op": row["op"], "execution": 0} for row in many]
    assert check_operations(many + turned, force, Counter()) == []
    people = [{"word": "down", "verb": "propose", "said": "2 is staged", "number": 2}]
    assert check_answers(people, {2: "decided"}, [("down", "decided"), ("force", "2")], 2) == []
    assert check_answers(people, {2: "ended"}, [("down", "decided")], 1) and check_answers(
        people, {}, [("force", "2")], 1
    )
    assert check_answers(people, {}, [("up", "decided")], 1)
    refused = [{"word": "down", "verb": "propose", "said": "refused: x", "number": 2}]
    assert "told refused" in check_answers(refused, {2: "decided"}, [], 2)[0]


def test_a_relay_holds_back_what_is_cut_and_gives_it_when_it_heals():
    async def play():
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, HOST, 0)
        import random

        relays = Relays(random.Random(1))
        relays.targets["b"] = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, await relays.port("a", "b"))
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        relays.block(["a"], ["b"])
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(3)
        relays.heal(["a"], ["b"])
        assert await reader.readexactly(3) == b"two"
        relays.way("b", "a").resets_at = 2
        writer.write(b"three")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(5)
        writer.close()
        await relays.close()
        server.close()

    asyncio.run(play())
