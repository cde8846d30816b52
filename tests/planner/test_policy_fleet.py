"""A whole fleet with three planners on the virtual clock: changes of its policy under drawn faults."""

import pytest

from rushmux.planner import admin_server
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
    return fleet.person(word, "propose", text=documents.text(raw))


def leader(fleet):
    return next(name for name, part in sorted(fleet.planners.items()) if part.program.council.leads)


def test_a_planner_whose_disk_takes_nothing_is_silent_and_comes_back(tmp_path):
    async def tell(fleet):
        name = leader(fleet)
        council = fleet.planners[name].program.council
        whole = council.disk.write, council.disk.rewrite
        failing = [True]

        def fails(do):
            def tried(*values):
                if failing:
                    raise OSError(28, "No space left on device")
                return do(*values)

            return tried

        council.disk.write, council.disk.rewrite = map(fails, whole)
        await propose(fleet, "full", 40.0)
        await fleet.sleep(5)
        assert not council.leads and council.broken is not None and leader(fleet) != name
        assert fleet.people[-1]["said"].endswith("is staged")
        failing.clear()
        await fleet.sleep(5)
        assert council.broken is None and council.register.active.version == 2
        assert any(row["event"] == "council.disk" for row in fleet.logs)
        # It votes again: the other two are one short without it.
        fleet.kill_planner_of(leader(fleet))
        await propose(fleet, "after", 50.0)
        await fleet.sleep(6)
        assert council.register.active.version == 3

    story(tmp_path, tell)


def test_an_order_asked_again_under_its_name_is_done_once_and_two_names_are_two(tmp_path):
    async def tell(fleet):
        raw = documents.text(fault_injection.stated(fault_injection.parse("edges 2\n")))
        known = {"client": "anna", "n": 1, "by": "anna", "text": raw}
        first = await admin_server.policy(fleet.places, "propose", **known)
        again = await admin_server.policy(fleet.places, "propose", **known)
        assert first.said == again.said == "2 is staged"
        await fleet.sleep(4)
        assert (await admin_server.policy(fleet.places, "propose", **known)).said == "2 is staged"
        other = await admin_server.policy(fleet.places, "propose", **{**known, "n": 2})
        assert other.said == "3 is staged"
        older = await admin_server.policy(fleet.places, "propose", **known)
        assert "older than 2" in older.said
        for bad in ({"client": "x"}, {"client": "x", "n": "y", "by": "z", "text": ""}, {}):
            with pytest.raises(admin_server.NotOrdered):
                await admin_server.policy(fleet.places, "propose", **bad)
        with pytest.raises(admin_server.NotOrdered, match="there is no order 'sing'"):
            await admin_server.policy(fleet.places, "sing", client="x", n=1, by="z")

    story(tmp_path, tell)


def test_drains_are_entries_and_outlive_every_planner(tmp_path):
    async def tell(fleet):
        answer = await admin_server.order(fleet.places, "drain", "node0")
        assert {row.member: row.condition for row in answer.members}["node0"] in ("draining", "drained")
        for name in list(fleet.planners):
            fleet.kill_planner_of(name)
        for name in policy_fleet.PLANNERS:
            await fleet.start_planner(name)
        await fleet.sleep(8)
        answer = await admin_server.order(fleet.places, "show")
        assert {row.member: row.condition for row in answer.members}["node0"] in ("draining", "drained")
        with pytest.raises(admin_server.NotOrdered, match="no node"):
            await admin_server.order(fleet.places, "drain", "node7")

    story(tmp_path, tell)


def test_a_planner_that_was_away_is_brought_up_by_a_snapshot(tmp_path):
    async def tell(fleet):
        name = next(name for name in policy_fleet.PLANNERS if name != leader(fleet))
        fleet.kill_planner_of(name)
        for number in range(260):  # more entries than a log keeps
            await admin_server.order(fleet.places, ("drain", "undrain")[number % 2], "node0")
        assert fleet.planners[leader(fleet)].program.council.voice.snapshot.index > 100
        await fleet.start_planner(name)
        await propose(fleet, "down", 40.0)
        await fleet.sleep(5)
        council = fleet.planners[name].program.council
        assert council.voice.snapshot.index > 100 and council.register.active.version == 2
        assert council.register.members == ("edge0", "edge1")
        # And from its disk.
        fleet.kill_planner_of(name)
        await fleet.start_planner(name)
        assert fleet.planners[name].program.council.register.members == ("edge0", "edge1")

    story(tmp_path, tell)
