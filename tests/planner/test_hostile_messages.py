"""Hostile messages do not affect other connections in a fleet with three planners.

An error in a step of the replicated log ends the planner's ticks, and so its leadership.  Causes may be an
invalid quota request checked within the step, a failure to send a grant, a node's age that overflows in the
endpoint list, or an entry that is too long to be replicated.
"""

import asyncio
import random

import pytest

from rushmux import log
from rushmux.nodewire import VERSION, frame, messages
from rushmux.planner import admin_client
from rushmux.planner.errors import CommandRejectedError, PlannerUnavailableError
from rushmux.settings import policy as documents
from rushmux.settings.deployment import build
from rushmux.simulation.loop import run
from rushmux.standins import fault_scenario, policy_fleet
from rushmux.standins.hostile_messages import random_session

PEERS = ("edge7", "edge8", "node7", "people", "planner x/1", "planner b", "", "x" * 5_000)
SESSIONS = 60
TO_PLANNERS = ("report", "order", "word", "policy_order", "hello", "grant", "floor") + 3 * (
    "ask",
    "policy_ask",
)
OWN_PEERS = ("planner planner", "edge0", "edge1", "node0", "node1")  # prefixes of the fleet's peer names


def raw_deployment():
    """A deployment of two edges with quotas from the planners."""
    raw = fault_scenario.raw_deployment(fault_scenario.parse("edges 2\n"))
    raw["fleet"]["shares"] = True
    return raw


@pytest.fixture
def run_fleet(tmp_path):
    """Runs a scenario on a fleet of three planners, two nodes and two edges."""

    def run_scenario(scenario, seed=5):
        deployment = build(raw_deployment())

        async def main(loop):
            fleet = policy_fleet.PolicyFleet(loop, deployment, seed, tmp_path)
            fleet.log = log.to_list(fleet.logs, "debug")
            await fleet.start(2, 2)
            fleet.logs.clear()
            return await scenario(fleet)

        return run(main, seed)

    return run_scenario


def leader(fleet):
    return next(
        name for name, part in sorted(fleet.planners.items()) if part.program.replicated_log.is_leader
    )


async def send(address, data):
    """Sends bytes on a new connection, and reads until it ends, for at most two seconds."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        async with asyncio.timeout(2):
            while await reader.read(1 << 16):
                pass
    except (TimeoutError, OSError):
        pass
    writer.close()


async def assert_serves(fleet, name):
    """Asserts that the leader still leads, a policy change reaches all, and no fleet connection ended."""
    assert leader(fleet) == name
    assert [
        row for row in fleet.logs if row["event"] == "peer.disconnected" and row["peer"].startswith(OWN_PEERS)
    ] == []
    raw = raw_deployment()
    raw["plans"]["basico"].update(limit=40.0, burst=80.0)
    await fleet.send_policy_command("down", "propose", text=documents.serialize(raw))
    assert fleet.operator_commands[-1]["said"].endswith("is staged")
    await fleet.sleep(5)
    assert leader(fleet) == name
    for part in fleet.edges.values():
        member = part.program.policy_client.member
        assert member.active_version == 2 and not member.is_degraded(fleet.loop.time())
        assert part.program.quota_client.quotas.lease_expiry > fleet.loop.time()
    versions = {part.program.replicated_log.policy.active.version for part in fleet.planners.values()}
    assert versions == {2}


@pytest.mark.parametrize("seed", range(6))
def test_random_messages_affect_only_their_sender(run_fleet, seed):
    async def scenario(fleet):
        name, rng = leader(fleet), random.Random(seed)
        for _ in range(SESSIONS):
            await send(
                rng.choice(fleet.planner_addresses), random_session(rng, rng.choice(PEERS), TO_PLANNERS)
            )
        await fleet.sleep(2)
        await assert_serves(fleet, name)

    run_fleet(scenario, seed)


def hello(peer):
    return frame(messages.Message(hello=messages.Hello(version=VERSION, peer=peer, start="1")))


def test_a_node_with_an_impossible_age_is_rejected(run_fleet):
    """An age that overflows in the endpoint list would prevent all later updates to edges."""

    async def scenario(fleet):
        name = leader(fleet)
        entry = messages.Entry(
            node="node7", host="127.0.0.1", port=1, condition="ready", start="1", age=2**64 - 1
        )
        report = frame(messages.Message(report=messages.Report(entry=entry)))
        for address in fleet.planner_addresses:
            await send(address, hello("node7") + report)
        await assert_serves(fleet, name)
        fleet.kill_edge(0)
        await fleet.start_edge(0)
        await fleet.sleep(5)
        assert len(fleet.edges[0].program.driver.endpoint_table.disk_space) == 2

    run_fleet(scenario)


def test_a_rejection_reason_that_fits_in_no_frame_does_not_stop_the_log(run_fleet):
    """A long reason could make a log entry too long to be sent, and nothing would be committed after it."""

    async def scenario(fleet):
        name = leader(fleet)
        raw = raw_deployment()
        raw["plans"]["basico"].update(limit=40.0, burst=80.0)
        fleet.edges[1].process.pause(3)
        await fleet.send_policy_command("held", "propose", text=documents.serialize(raw))
        request = messages.PolicyAsk(member="edge1", ask=1, force=1, refused=2, against="\1" * 400_000)
        await send(
            fleet.planner_addresses[policy_fleet.PLANNERS.index(name)],
            hello("edge1") + frame(messages.Message(policy_ask=request)),
        )
        await fleet.sleep(5)
        machine = fleet.planners[name].program.replicated_log.policy
        assert leader(fleet) == name and machine.staged is None
        raw["plans"]["basico"].update(limit=50.0, burst=100.0)
        await fleet.send_policy_command("next", "propose", text=documents.serialize(raw))
        await fleet.sleep(5)
        assert machine.active.version == 3

    run_fleet(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"verb": "forget", "member": "\1" * 80_000},
        {"verb": "revert", "number": 1e30},
        {"verb": "propose", "base": {"a": []}},
        {"verb": "withdraw", "number": float("1e300")},
        {"verb": "withdraw", "number": -1},
    ],
    ids=lambda fields: "-".join(map(str, fields))[:40],
)
def test_an_operators_impossible_command_is_answered_and_applied_nowhere(run_fleet, fields):
    async def scenario(fleet):
        name = leader(fleet)
        raw = raw_deployment()
        raw["plans"]["basico"].update(limit=40.0, burst=80.0)
        command = {"text": documents.serialize(raw), "client": "c", "n": 1, "by": "b", **fields}
        with pytest.raises(CommandRejectedError) as rejection:
            answer = await admin_client.send_policy_command(
                fleet.planner_addresses, command.pop("verb"), **command
            )
            raise CommandRejectedError(answer.said)
        assert not isinstance(rejection.value, PlannerUnavailableError)
        assert "is staged" not in str(rejection.value)
        await fleet.sleep(3)
        await assert_serves(fleet, name)

    run_fleet(scenario)
