"""A whole fleet with three planners on the virtual clock: changes of its policy under drawn faults."""

import asyncio

import pytest

from rushmux.nodewire import VERSION, frame, messages
from rushmux.planner import admin_client
from rushmux.planner.errors import CommandRejectedError
from rushmux.settings import policy as documents
from rushmux.settings.deployment import build
from rushmux.simulation.loop import run
from rushmux.standins import fault_injection, policy_fleet


@pytest.mark.parametrize("seed", range(4))
def test_drawn_faults_break_no_rule_and_all_go_by_one_number_at_the_end(seed, tmp_path):
    found = policy_fleet.played(seed, tmp_path)
    assert found.breaches == []
    assert found.facts["decide"] >= 2 and found.facts["answers"] > 200


def story(tmp_path, tell, edges=2):
    """Plays `tell(fleet)` on a fleet without faults; what it gave."""
    deployment = build(fault_injection.stated(fault_injection.parse(f"edges {edges}\n")))

    async def whole(loop):
        fleet = policy_fleet.PolicyFleet(loop, deployment, 5, tmp_path)
        await fleet.up(1, edges)
        return await tell(fleet)

    return run(whole, 5)


def propose(fleet, word, limit):
    raw = fault_injection.stated(fault_injection.parse(f"edges {len(fleet.edges)}\n"))
    raw["plans"]["basico"].update(limit=limit, burst=2 * limit)
    return fleet.send_policy_command(word, "propose", text=documents.text(raw))


def leader(fleet):
    return next(
        name for name, part in sorted(fleet.planners.items()) if part.program.replicated_log.is_leader
    )


def test_a_planner_whose_disk_takes_nothing_is_silent_and_comes_back(tmp_path):
    async def tell(fleet):
        name = leader(fleet)
        replicated_log = fleet.planners[name].program.replicated_log
        whole = replicated_log.storage.write, replicated_log.storage.rewrite
        failing = [True]

        def fails(do):
            def tried(*values):
                if failing:
                    raise OSError(28, "No space left on device")
                return do(*values)

            return tried

        replicated_log.storage.write, replicated_log.storage.rewrite = map(fails, whole)
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
        # It votes again: the other two are one short without it.
        fleet.kill_planner_of(leader(fleet))
        await propose(fleet, "after", 50.0)
        await fleet.sleep(6)
        assert replicated_log.policy.active.version == 3

    story(tmp_path, tell)


def test_an_order_asked_again_under_its_name_is_done_once_and_two_names_are_two(tmp_path):
    async def tell(fleet):
        raw = documents.text(fault_injection.stated(fault_injection.parse("edges 2\n")))
        known = {"client": "anna", "n": 1, "by": "anna", "text": raw}
        first = await admin_client.send_policy_command(fleet.places, "propose", **known)
        again = await admin_client.send_policy_command(fleet.places, "propose", **known)
        assert first.said == again.said == "2 is staged"
        await fleet.sleep(4)
        assert (
            await admin_client.send_policy_command(fleet.places, "propose", **known)
        ).said == "2 is staged"
        other = await admin_client.send_policy_command(fleet.places, "propose", **{**known, "n": 2})
        assert other.said == "3 is staged"
        older = await admin_client.send_policy_command(fleet.places, "propose", **known)
        assert "older than 2" in older.said
        for bad in ({"client": "x"}, {"client": "x", "n": "y", "by": "z", "text": ""}, {}):
            with pytest.raises(CommandRejectedError):
                await admin_client.send_policy_command(fleet.places, "propose", **bad)
        with pytest.raises(CommandRejectedError, match="there is no order 'sing'"):
            await admin_client.send_policy_command(fleet.places, "sing", client="x", n=1, by="z")

    story(tmp_path, tell)


def test_drains_are_entries_and_outlive_every_planner(tmp_path):
    async def tell(fleet):
        answer = await admin_client.send_fleet_command(fleet.places, "drain", "node0")
        assert {row.member: row.condition for row in answer.members}["node0"] in ("draining", "drained")
        for name in list(fleet.planners):
            fleet.kill_planner_of(name)
        for name in policy_fleet.PLANNERS:
            await fleet.start_planner(name)
        await fleet.sleep(8)
        answer = await admin_client.send_fleet_command(fleet.places, "show")
        assert {row.member: row.condition for row in answer.members}["node0"] in ("draining", "drained")
        with pytest.raises(CommandRejectedError, match="no node"):
            await admin_client.send_fleet_command(fleet.places, "drain", "node7")

    story(tmp_path, tell)


def test_a_planner_that_was_away_is_brought_up_by_a_snapshot(tmp_path):
    async def tell(fleet):
        name = next(name for name in policy_fleet.PLANNERS if name != leader(fleet))
        fleet.kill_planner_of(name)
        for number in range(260):  # more entries than a log keeps
            await admin_client.send_fleet_command(fleet.places, ("drain", "undrain")[number % 2], "node0")
        assert fleet.planners[leader(fleet)].program.replicated_log.node.snapshot.index > 100
        await fleet.start_planner(name)
        await propose(fleet, "down", 40.0)
        await fleet.sleep(5)
        replicated_log = fleet.planners[name].program.replicated_log
        assert replicated_log.node.snapshot.index > 100 and replicated_log.policy.active.version == 2
        assert replicated_log.policy.members == ("edge0", "edge1")
        # And from its disk.
        fleet.kill_planner_of(name)
        await fleet.start_planner(name)
        assert fleet.planners[name].program.replicated_log.policy.members == ("edge0", "edge1")

    story(tmp_path, tell)


def test_a_quota_request_that_makes_no_sense_ends_its_own_connection_only(tmp_path):
    async def tell(fleet):
        name = leader(fleet)
        hello = messages.Hello(version=VERSION, peer="edge9", start="x")
        request = messages.Ask(ask=1, wants=[messages.Want(folder="caribe", part=-1.0)])
        address = fleet.places[policy_fleet.PLANNERS.index(name)]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(frame(messages.Message(hello=hello)) + frame(messages.Message(ask=request)))
        async with asyncio.timeout(5):
            while await reader.read(1 << 16):
                pass
        await fleet.sleep(3)
        # It still ticks: it would not lead any more, and decide nothing, if its steps had ended.
        assert leader(fleet) == name
        await propose(fleet, "down", 40.0)
        assert fleet.operator_commands[-1]["said"].endswith("is staged")

    story(tmp_path, tell)
