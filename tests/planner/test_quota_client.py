"""Parts of limits in running edges: never above the limit, better than even ones, safe without a planner."""

import asyncio

import pytest

from benchmarks import shares as day
from rushmux.edge.node_connections import Lists
from rushmux.fleet.quotas import LEASE_DURATION, SAFE_FRACTION
from rushmux.nodewire import messages
from rushmux.settings.deployment import BadDeployment, build
from rushmux.standins import fleet
from rushmux.standins.checker import Checker


def kept(records, stated):
    return Checker(records, stated, day.NETWORK_DELAY).breaches()


@pytest.mark.parametrize("troubles, seconds", [(False, 60.0), (True, 120.0)])
def test_planned_parts_store_more_than_even_ones_and_pass_no_limit(troubles, seconds):
    ends = {}
    for planned in (False, True):
        ends[planned], records, stated = day.run_seed(planned, 2, seconds, troubles)
        assert kept(records, stated) == []
    in_time = {planned: found["in time"] / found["asked"] for planned, found in ends.items()}
    assert in_time[True] > in_time[False] + 0.05


def test_asked_for_three_times_over_the_limit_is_used_and_not_passed():
    part, there, day.DEMAND, day.BUSIEST_SHARE = day.DEMAND, day.BUSIEST_SHARE, 3.0, 0.4
    try:
        _, records, stated = day.run_seed(True, 3, 40.0, False)
    finally:
        day.DEMAND, day.BUSIEST_SHARE = part, there
    verdict = next(
        verdict
        for verdict in Checker(records, stated, day.NETWORK_DELAY).verdicts()
        if verdict.rule == "limits kept"
    )
    assert not verdict.breaches
    end = max(row["at"] for row in records if row["kind"] == "execution") - 3.0
    sent = sum(
        row["units"]
        for row in records
        if row["kind"] == "execution"
        and end - 15 < row["at"] <= end
        and row["execution"] == 0
        and row["what"] == "write"
    )
    assert sent > 0.75 * 15 * 3 * stated.settings.plans["basico"].limit


@pytest.fixture
def asking(tmp_path):
    """Plays a story on a fleet with a planner and parts of limits."""

    def played(story, seed=3):
        return fleet.play(
            day.deployment(True), seed, story, 3, day.EDGES, planner=tmp_path / "p", level="error", logs=False
        )

    return played


def rates(made, folder="caribe"):
    return [part.program.driver.scheduler.quota_shares.get(folder) for part in made.edges.values()]


def test_without_a_planner_each_edge_falls_to_its_safe_part(asking):
    async def story(made):
        for edge in made.edges.values():
            edge.program.asking.limits = dict.fromkeys(edge.program.asking.limits, 1e-6)  # all, it seems
        first = rates(made)
        for _ in range(200):
            made.edges[0].program.driver.taking("caribe", 5.0)
            await made.sleep(0.1)
        busy = rates(made)
        made.kill_planner()
        await made.sleep(LEASE_DURATION + 1)
        return first, busy, rates(made)

    _, (first, busy, after) = asking(story)
    safe = SAFE_FRACTION / day.EDGES
    assert first == pytest.approx([safe] * 3) and busy[0] > 2 * safe
    assert sum(busy) <= 1 + 1e-9 and after == pytest.approx([safe] * 3)


def test_asks_that_make_no_sense_cost_their_own_connection_only(asking):
    async def story(made):
        bad, link = [], made.edges[0].program
        for wants in (
            [messages.Want(folder="caribe", part=-1.0)],
            [messages.Want(folder=f"f{number}", part=1.0) for number in range(10_001)],
        ):
            told = []
            lists = Lists(
                made.lists.address,
                messages.Hello(version=1, peer="edge9", start="x"),
                link.chance,
                link.log,
                told.append,
            )
            task = asyncio.ensure_future(lists.run())
            await made.sleep(1)
            assert lists.send(ask=messages.Ask(ask=1, wants=wants))
            before = len(told)
            await made.sleep(2)
            bad.append(len(told) - before)  # it was closed, came back and was told the whole anew
            task.cancel()
        return bad, rates(made)

    _, (bad, parts) = asking(story)
    assert all(again >= 1 for again in bad) and None not in parts


def test_a_burst_whose_safe_part_holds_no_largest_operation_is_refused():
    raw = day.deployment(True).raw
    raw["fleet"]["gateways"] = 8
    with pytest.raises(BadDeployment) as fault:
        build(raw)
    assert any(place == "/plans/basico/burst" and "safe part" in text for place, text in fault.value.faults)
