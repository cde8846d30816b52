"""Scheduler simulations are repeatable, and each kind of fault has its effect."""

import random

import pytest

from rushmux.lab.baselines import BASELINES
from rushmux.lab.client import ClientOutcome
from rushmux.lab.measurements import measure
from rushmux.lab.timer_loop import TimerLoop
from rushmux.standins.service_model import ServiceModel, Shape


def less_in_time(calm, day):
    return day["in_time"] < calm["in_time"] - 0.02


# The effect of each kind of fault, compared with a day without faults.
EFFECTS = {
    "silent nodes 2 at 0.5 for 3": less_in_time,
    "slow nodes 3 size 20 at 0.5 for 3": less_in_time,
    "errors nodes 4 size 0.8 at 0.5 for 3": less_in_time,
    "lost nodes 4 size 0.5 at 0.5 for 3": lambda calm, day: day["p99_ms"] > calm["p99_ms"],
    "restart nodes 3 at 0.5 for 1": less_in_time,
    "cut zone at 0.5 for 3": less_in_time,
    "die edges 3 at 0.5 for 3": lambda calm, day: day["ends"].get("lost", 0) > 0,
    "still edges 4 at 0.5 for 2": less_in_time,
    "neighbour nodes 4 size 30 at 0.5 for 3": less_in_time,
    "surge all size 6 at 0.5 for 3": lambda calm, day: day["asked"] > 2 * calm["asked"],
    "scan all size 6 at 0.5 for 3": less_in_time,
    "hurried all size 0.02 at 0 for 4": less_in_time,
    "drain nodes 2 size 0.2 at 0.5": less_in_time,
}


@pytest.mark.parametrize("line", EFFECTS)
def test_each_fault_has_its_effect_and_the_rules_are_kept(line, make_experiment, run_simulation):
    calm, day = (measure(run_simulation(make_experiment(lines)), 4.0) for lines in ((), (line,)))
    assert calm["kept"] and day["kept"], day["rules"]
    assert EFFECTS[line](calm, day), (calm["in_time"], day["in_time"], day["ends"])


def test_resets_hot_keys_discovery_lag_and_lost_usage_reports_keep_the_rules(make_experiment, run_simulation):
    lines = [
        "resets nodes 4 at 1",
        "resets nodes 4 at 2",
        "hot all size 0.9 at 0 for 4",
        "reports nodes 4 at 0 for 4",
        "lag lists size 3 at 0 for 4",
        "restart nodes 1 at 0.5 for 0.5",
    ]
    simulation = run_simulation(make_experiment(lines))
    assert measure(simulation, 4.0)["kept"]
    keys = [row["key"] for row in simulation.records if row["kind"] == "execution" and row["key"]]
    assert sum(key.endswith("/1") for key in keys) > 0.8 * len(keys)


def test_the_same_seed_gives_the_same_day_and_another_seed_another(make_experiment, run_simulation):
    lines = ["silent node at 1 for 1", "die edge at 1..2 for 1"]
    one, two, three = (run_simulation(make_experiment(lines), seed) for seed in (4, 4, 5))
    assert one.completed == two.completed and one.records == two.records
    assert one.completed != three.completed


def test_connections_of_a_node_are_limited(make_experiment, run_simulation):
    experiment = make_experiment()
    experiment["fleet"]["connections"] = 2
    simulation = run_simulation(experiment)
    assert max(len(node.connections) for node in simulation.nodes.values()) <= 2
    assert any(row.outcome is not ClientOutcome.SUCCEEDED for row in simulation.completed)


@pytest.mark.parametrize("name", BASELINES)
def test_baselines_serve_with_at_most_ten_attempts_in_flight(name, make_experiment, run_simulation):
    simulation = run_simulation(make_experiment(), make_scheduler=BASELINES[name])
    succeeded = sum(row.outcome is ClientOutcome.SUCCEEDED for row in simulation.completed)
    assert succeeded > 0.5 * len(simulation.completed)
    assert all(max(gateway.scheduler.in_flight.values(), default=0) <= 10 for gateway in simulation.gateways)


def test_queued_work_makes_machines_slower():
    def total(crowd):
        clock, ends = TimerLoop(), []
        model = ServiceModel(
            Shape(crowd=crowd, recent=0, put_off=0.0), random.Random(1), False, lambda: None, clock
        )
        for _ in range(30):
            model.submit(1.0, "", False, 60.0, lambda dropped: ends.append(clock.time()))
        clock.run(60.0)
        return max(ends)

    assert total(0.1) > 1.2 * total(0.0)
