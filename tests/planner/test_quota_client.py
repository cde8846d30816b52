"""Quotas in running edges: never above the limit, better than equal ones, and safe without a planner."""

import asyncio

import pytest

from benchmarks import shares as quota_benchmark
from rushmux.edge.planner_client import PlannerClient
from rushmux.fleet.quotas import LEASE_DURATION, SAFE_FRACTION
from rushmux.nodewire import messages
from rushmux.settings.deployment import DeploymentError, build
from rushmux.standins.checker import Checker
from rushmux.standins.fleet import run_fleet as run_virtual_fleet


def breaches(records, deployment):
    return Checker(records, deployment, quota_benchmark.MAX_NETWORK_DELAY).breaches()


@pytest.mark.parametrize("with_faults, seconds", [(False, 60.0), (True, 120.0)])
def test_planned_quotas_store_more_than_equal_ones_and_exceed_no_limit(with_faults, seconds):
    outcomes = {}
    for planned in (False, True):
        outcomes[planned], records, deployment = quota_benchmark.run_seed(planned, 2, seconds, with_faults)
        assert breaches(records, deployment) == []
    in_time = {planned: counts["in time"] / counts["asked"] for planned, counts in outcomes.items()}
    assert in_time[True] > in_time[False] + 0.05


def test_a_limit_with_three_times_as_much_demand_is_used_and_not_exceeded():
    demand, busiest_share, quota_benchmark.DEMAND, quota_benchmark.BUSIEST_SHARE = (
        quota_benchmark.DEMAND,
        quota_benchmark.BUSIEST_SHARE,
        3.0,
        0.4,
    )
    try:
        _, records, deployment = quota_benchmark.run_seed(True, 3, 40.0, False)
    finally:
        quota_benchmark.DEMAND, quota_benchmark.BUSIEST_SHARE = demand, busiest_share
    verdict = next(
        verdict
        for verdict in Checker(records, deployment, quota_benchmark.MAX_NETWORK_DELAY).verdicts()
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
    assert sent > 0.75 * 15 * 3 * deployment.settings.plans["basico"].limit


@pytest.fixture
def run_fleet(tmp_path):
    """Runs a scenario on a fleet with a planner and quotas."""

    def run_scenario(scenario, seed=3):
        return run_virtual_fleet(
            quota_benchmark.deployment(True),
            seed,
            scenario,
            3,
            quota_benchmark.EDGES,
            planner=tmp_path / "p",
            level="error",
            buffer_logs=False,
        )

    return run_scenario


def quota_shares(fleet, folder="caribe"):
    return [part.program.driver.scheduler.quota_shares.get(folder) for part in fleet.edges.values()]


def test_without_a_planner_each_edge_falls_back_to_its_safe_quota(run_fleet):
    async def scenario(fleet):
        for edge in fleet.edges.values():
            # Makes any demand exceed the limits.
            edge.program.quota_client.limits = dict.fromkeys(edge.program.quota_client.limits, 1e-6)
        initial = quota_shares(fleet)
        for _ in range(200):
            fleet.edges[0].program.driver.on_demand("caribe", 5.0)
            await fleet.sleep(0.1)
        under_load = quota_shares(fleet)
        fleet.kill_planner()
        await fleet.sleep(LEASE_DURATION + 1)
        return initial, under_load, quota_shares(fleet)

    _, (initial, under_load, after) = run_fleet(scenario)
    safe = SAFE_FRACTION / quota_benchmark.EDGES
    assert initial == pytest.approx([safe] * 3) and under_load[0] > 2 * safe
    assert sum(under_load) <= 1 + 1e-9 and after == pytest.approx([safe] * 3)


def test_invalid_quota_requests_end_their_own_connection_only(run_fleet):
    async def scenario(fleet):
        relisted, edge = [], fleet.edges[0].program
        for wants in (
            [messages.Want(folder="caribe", part=-1.0)],
            [messages.Want(folder=f"f{number}", part=1.0) for number in range(10_001)],
        ):
            listings = []
            client = PlannerClient(
                fleet.endpoint_source.address,
                messages.Hello(version=1, peer="edge9", start="x"),
                edge.rng,
                edge.log,
                listings.append,
            )
            task = asyncio.ensure_future(client.run())
            await fleet.sleep(1)
            assert client.send(ask=messages.Ask(ask=1, wants=wants))
            before = len(listings)
            await fleet.sleep(2)
            relisted.append(len(listings) - before)  # it reconnected, and got the complete list again
            task.cancel()
        return relisted, quota_shares(fleet)

    _, (relisted, quotas) = run_fleet(scenario)
    assert all(count >= 1 for count in relisted) and None not in quotas


def test_a_burst_whose_safe_quota_is_below_the_largest_operation_is_rejected():
    raw = quota_benchmark.deployment(True).raw
    raw["fleet"]["gateways"] = 8
    with pytest.raises(DeploymentError) as error:
        build(raw)
    assert any(path == "/plans/basico/burst" and "safe part" in text for path, text in error.value.faults)
