"""Quotas in running edges: never above the limit, better than even ones, safe without a planner."""

import asyncio

import pytest

from benchmarks import shares as day
from rushmux.edge.planner_client import PlannerClient
from rushmux.fleet.quotas import LEASE_DURATION, SAFE_FRACTION
from rushmux.nodewire import messages
from rushmux.settings.deployment import DeploymentError, build
from rushmux.standins.checker import Checker
from rushmux.standins.fleet import play


def breaches(records, stated):
    return Checker(records, stated, day.NETWORK_DELAY).breaches()


@pytest.mark.parametrize("with_faults, seconds", [(False, 60.0), (True, 120.0)])
def test_planned_quotas_store_more_than_even_ones_and_exceed_no_limit(with_faults, seconds):
    ends = {}
    for planned in (False, True):
        ends[planned], records, stated = day.run_seed(planned, 2, seconds, with_faults)
        assert breaches(records, stated) == []
    in_time = {planned: found["in time"] / found["asked"] for planned, found in ends.items()}
    assert in_time[True] > in_time[False] + 0.05


def test_a_limit_with_three_times_its_demand_is_used_and_not_exceeded():
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
def run_fleet(tmp_path):
    """Runs a scenario on a fleet with a planner and quotas."""

    def run_scenario(scenario, seed=3):
        return play(
            day.deployment(True),
            seed,
            scenario,
            3,
            day.EDGES,
            planner=tmp_path / "p",
            level="error",
            logs=False,
        )

    return run_scenario


def rates(fleet, folder="caribe"):
    return [part.program.driver.scheduler.quota_shares.get(folder) for part in fleet.edges.values()]


def test_without_a_planner_each_edge_falls_back_to_its_safe_quota(run_fleet):
    async def scenario(fleet):
        for edge in fleet.edges.values():
            edge.program.quota_client.limits = dict.fromkeys(
                edge.program.quota_client.limits, 1e-6
            )  # all, it seems
        first = rates(fleet)
        for _ in range(200):
            fleet.edges[0].program.driver.on_demand("caribe", 5.0)
            await fleet.sleep(0.1)
        busy = rates(fleet)
        fleet.kill_planner()
        await fleet.sleep(LEASE_DURATION + 1)
        return first, busy, rates(fleet)

    _, (first, busy, after) = run_fleet(scenario)
    safe = SAFE_FRACTION / day.EDGES
    assert first == pytest.approx([safe] * 3) and busy[0] > 2 * safe
    assert sum(busy) <= 1 + 1e-9 and after == pytest.approx([safe] * 3)


def test_invalid_quota_requests_end_their_own_connection_only(run_fleet):
    async def scenario(fleet):
        bad, edge = [], fleet.edges[0].program
        for wants in (
            [messages.Want(folder="caribe", part=-1.0)],
            [messages.Want(folder=f"f{number}", part=1.0) for number in range(10_001)],
        ):
            told = []
            client = PlannerClient(
                fleet.lists.address,
                messages.Hello(version=1, peer="edge9", start="x"),
                edge.rng,
                edge.log,
                told.append,
            )
            task = asyncio.ensure_future(client.run())
            await fleet.sleep(1)
            assert client.send(ask=messages.Ask(ask=1, wants=wants))
            before = len(told)
            await fleet.sleep(2)
            bad.append(len(told) - before)  # it was closed, came back and was told the whole anew
            task.cancel()
        return bad, rates(fleet)

    _, (bad, parts) = run_fleet(scenario)
    assert all(again >= 1 for again in bad) and None not in parts


def test_a_burst_whose_safe_quota_holds_no_largest_operation_is_rejected():
    raw = day.deployment(True).raw
    raw["fleet"]["gateways"] = 8
    with pytest.raises(DeploymentError) as fault:
        build(raw)
    assert any(place == "/plans/basico/burst" and "safe part" in text for place, text in fault.value.faults)
