"""Policy changes and faults in a fleet of three planners on the virtual clock."""

import asyncio

import pytest

from rushmux.nodewire import VERSION, frame, messages
from rushmux.planner import admin_client
from rushmux.planner.errors import CommandRejectedError
from rushmux.settings import policy as documents
from rushmux.settings.deployment import build
from rushmux.simulation.loop import run
from rushmux.standins import fault_scenario, policy_fleet


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_break_no_rule_and_all_members_converge(seed, tmp_path):
    result = policy_fleet.run_seed(seed, tmp_path)
    assert result.breaches == []
    assert result.facts["decide"] >= 2 and result.facts["answers"] > 200


@pytest.fixture
def run_fleet(tmp_path):
    """Runs a scenario on a fleet without faults."""

    def run_scenario(scenario, edges=2):
        deployment = build(fault_scenario.raw_deployment(fault_scenario.parse(f"edges {edges}\n")))

        async def main(loop):
            fleet = policy_fleet.PolicyFleet(loop, deployment, 5, tmp_path)
            await fleet.start(1, edges)
            return await scenario(fleet)

        return run(main, 5)

    return run_scenario


def propose(fleet, label, limit):
    raw = fault_scenario.raw_deployment(fault_scenario.parse(f"edges {len(fleet.edges)}\n"))
    raw["plans"]["basico"].update(limit=limit, burst=2 * limit)
    return fleet.send_policy_command(label, "propose", text=documents.serialize(raw))


def leader(fleet):
    return next(
        name for name, part in sorted(fleet.planners.items()) if part.program.replicated_log.is_leader
    )


def test_a_planner_with_a_full_disk_is_silent_until_it_works_again(run_fleet):
    async def scenario(fleet):
        name = leader(fleet)
        replicated_log = fleet.planners[name].program.replicated_log
        working = replicated_log.storage.write, replicated_log.storage.rewrite
        failing = [True]

        def failing_on_demand(function):
            def call(*values):
                if failing:
                    raise OSError(28, "No space left on device")
                return function(*values)

            return call

        replicated_log.storage.write, replicated_log.storage.rewrite = map(failing_on_demand, working)
        await propose(fleet, "full", 40.0)
        await fleet.sleep(5)
        assert (
            not replicated_log.is_leader
            and replicated_log.storage_failed_at is not None
            and leader(fleet) != name
        )
        assert fleet.operator_commands[-1]["said"].endswith("is staged")
        failing.clear()
        await fleet.sleep(5)
        assert replicated_log.storage_failed_at is None and replicated_log.policy.active.version == 2
        assert any(row["event"] == "raft.storage_failed" for row in fleet.logs)
        # Without the leader, its vote is needed for a majority.
        fleet.kill_planner_by_name(leader(fleet))
        await propose(fleet, "after", 50.0)
        await fleet.sleep(6)
        assert replicated_log.policy.active.version == 3

    run_fleet(scenario)


def test_a_command_is_applied_once_for_each_idempotency_key(run_fleet):
    async def scenario(fleet):
        text = documents.serialize(fault_scenario.raw_deployment(fault_scenario.parse("edges 2\n")))
        fields = {"client": "anna", "n": 1, "by": "anna", "text": text}
        first = await admin_client.send_policy_command(fleet.planner_addresses, "propose", **fields)
        again = await admin_client.send_policy_command(fleet.planner_addresses, "propose", **fields)
        assert first.said == again.said == "2 is staged"
        await fleet.sleep(4)
        assert (
            await admin_client.send_policy_command(fleet.planner_addresses, "propose", **fields)
        ).said == "2 is staged"
        other = await admin_client.send_policy_command(
            fleet.planner_addresses, "propose", **{**fields, "n": 2}
        )
        assert other.said == "3 is staged"
        older = await admin_client.send_policy_command(fleet.planner_addresses, "propose", **fields)
        assert "older than 2" in older.said

    run_fleet(scenario)


@pytest.mark.parametrize(
    "verb, fields, message",
    [
        ("propose", {"client": "x"}, "the order lacks 'n'"),
        ("propose", {"client": "x", "n": "y", "by": "z", "text": ""}, "invalid literal"),
        ("propose", {}, "the order lacks 'client'"),
        ("sing", {"client": "x", "n": 1, "by": "z"}, "there is no order 'sing'"),
    ],
)
def test_a_command_that_cannot_be_read_is_rejected(run_fleet, verb, fields, message):
    async def scenario(fleet):
        with pytest.raises(CommandRejectedError, match=message):
            await admin_client.send_policy_command(fleet.planner_addresses, verb, **fields)

    run_fleet(scenario)


def test_drains_survive_a_restart_of_all_planners(run_fleet):
    async def scenario(fleet):
        answer = await admin_client.send_fleet_command(fleet.planner_addresses, "drain", "node0")
        assert {row.member: row.condition for row in answer.members}["node0"] in ("draining", "drained")
        for name in list(fleet.planners):
            fleet.kill_planner_by_name(name)
        for name in policy_fleet.PLANNERS:
            await fleet.start_planner(name)
        await fleet.sleep(8)
        answer = await admin_client.send_fleet_command(fleet.planner_addresses, "show")
        assert {row.member: row.condition for row in answer.members}["node0"] in ("draining", "drained")
        with pytest.raises(CommandRejectedError, match="no node"):
            await admin_client.send_fleet_command(fleet.planner_addresses, "drain", "node7")

    run_fleet(scenario)


def test_a_planner_that_was_away_catches_up_by_a_snapshot(run_fleet):
    async def scenario(fleet):
        name = next(name for name in policy_fleet.PLANNERS if name != leader(fleet))
        fleet.kill_planner_by_name(name)
        for number in range(260):  # enough entries to compact the log
            await admin_client.send_fleet_command(
                fleet.planner_addresses, ("drain", "undrain")[number % 2], "node0"
            )
        assert fleet.planners[leader(fleet)].program.replicated_log.node.snapshot.index > 100
        await fleet.start_planner(name)
        await propose(fleet, "down", 40.0)
        await fleet.sleep(5)
        replicated_log = fleet.planners[name].program.replicated_log
        assert replicated_log.node.snapshot.index > 100 and replicated_log.policy.active.version == 2
        assert replicated_log.policy.members == ("edge0", "edge1")
        # It also loads the snapshot from its disk.
        fleet.kill_planner_by_name(name)
        await fleet.start_planner(name)
        assert fleet.planners[name].program.replicated_log.policy.members == ("edge0", "edge1")

    run_fleet(scenario)


def test_an_invalid_quota_request_ends_its_own_connection_only(run_fleet):
    async def scenario(fleet):
        name = leader(fleet)
        hello = messages.Hello(version=VERSION, peer="edge9", start="x")
        request = messages.Ask(ask=1, wants=[messages.Want(folder="caribe", part=-1.0)])
        address = fleet.planner_addresses[policy_fleet.PLANNERS.index(name)]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(frame(messages.Message(hello=hello)) + frame(messages.Message(ask=request)))
        async with asyncio.timeout(5):
            while await reader.read(1 << 16):
                pass
        await fleet.sleep(3)
        # It still ticks; otherwise it would neither lead nor commit.
        assert leader(fleet) == name
        await propose(fleet, "down", 40.0)
        assert fleet.operator_commands[-1]["said"].endswith("is staged")

    run_fleet(scenario)
