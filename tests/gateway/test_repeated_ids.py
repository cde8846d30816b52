"""An operation that may not be repeated runs once, also if its id comes again.

By the protocol every request has a new id. A client left while its write ran at a node, connected again once
that had ended and sent the same command. The node got it twice, since the gateway forgot an operation with
its last attempt.
"""

import asyncio

import pytest

from rushmux.gateway import recent_ids
from rushmux.gateway.recent_ids import RecentIds
from rushmux.standins.platform import read_command, success_reply, wait_until, write_command

SERVICE_TIME = 0.1
EARLIER, OPEN = (
    b"ERR the id is that of an earlier request that may have run",
    b"ERR the id is that of an open request",
)


def node_script(arrivals, outcome):
    """Returns a script that records each command and then replies as `outcome` says."""

    def script(arguments):
        arrivals.append(arguments[2])
        return outcome

    return script


async def leave_while_the_node_works(fleet, arrivals, command):
    client = await fleet.client()
    client.send(*command)
    await wait_until(lambda: arrivals)
    client.close()
    await wait_until(lambda: not fleet.server.listener.clients)


@pytest.mark.parametrize("idempotency", ["unsafe", "keyed"])
@pytest.mark.parametrize("waits", [False, True], ids=["at-once", "after-the-attempt"])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(with_fleet, idempotency, waits):
    """Guards against a second run of what the first client started."""
    arrivals = []
    command = write_command(7, is_keyed=idempotency == "keyed")

    async def scenario(fleet):
        fleet.nodes[0].script = node_script(arrivals, [SERVICE_TIME, success_reply()])
        await leave_while_the_node_works(fleet, arrivals, command)
        if waits:
            await wait_until(lambda: not fleet.server.operations)
        reply = await (await fleet.client()).request(*command)
        await asyncio.sleep(2 * SERVICE_TIME)
        return reply

    reply = with_fleet(scenario, write_idempotency=idempotency)
    assert reply == ("-", EARLIER if waits else OPEN)
    assert len(arrivals) == 1


@pytest.mark.parametrize(
    "outcome", [[success_reply()], [b"-ERR failed\r\n"], ["close"]], ids=["served", "failed", "closed"]
)
def test_an_id_that_may_have_run_is_rejected_when_it_comes_again(with_fleet, outcome):
    arrivals = []

    async def scenario(fleet):
        fleet.nodes[0].script = node_script(arrivals, outcome)
        client = await fleet.client()
        first = await client.request(*write_command(7, is_keyed=False))
        return first, await client.request(*write_command(7, is_keyed=False))

    (kind, _), again = with_fleet(scenario, write_idempotency="unsafe")
    assert kind == ("$" if outcome == [success_reply()] else "-") and again == ("-", EARLIER)
    assert len(arrivals) == 1


def test_an_id_that_never_ran_or_may_be_repeated_is_accepted_again(with_fleet):
    async def scenario(fleet):
        fleet.nodes[0].script = lambda arguments: [b"-BUSY\r\n"]
        client = await fleet.client()
        write = write_command(7, is_keyed=False)
        refused = await client.request(*write)
        fleet.nodes[0].script = lambda arguments: [success_reply()]
        replies = [await client.request(*command) for command in (write, read_command(8), read_command(8))]
        return refused, replies

    refused, replies = with_fleet(scenario, write_idempotency="unsafe")
    assert refused == ("-", b"BUSY")
    assert replies == [("$", b"data")] * 3


def test_the_number_of_remembered_ids_is_bounded_and_the_latest_are_kept(monkeypatch):
    monkeypatch.setattr(recent_ids, "MAX_IDS", 3)
    ids, names = RecentIds(), [f"{number:016x}" for number in range(10)]
    for name in [*names, names[-1], names[-1]]:
        ids.add(name)
    assert [name for name in names if name in ids] == names[-3:]
