"""The upper bound on operations served in time."""

from rushmux.lab import variants
from rushmux.lab.day import draw_day
from rushmux.lab.fleet import draw_node_speeds
from rushmux.lab.optimal_bound import upper_bound
from rushmux.lab.run import simulate


def test_no_scheduler_serves_more_than_the_bound(make_experiment):
    experiment = make_experiment(
        ["silent node at 1 for 2", "surge all size 3 at 1 for 2"],
        [{"name": "module"}, {"name": "first", "decisions": "first-come"}],
    )
    for seed in (1, 2, 3):
        day = draw_day(experiment, experiment["variants"][0], seed)
        bound = upper_bound(day, experiment["seconds"], draw_node_speeds(day.fleet, seed))
        for variant in experiment["variants"]:
            result = simulate(experiment, variant, variants.load_source(variant), seed)
            assert result["in_time"] <= bound + 1e-9


def test_the_bound_is_low_under_overload(make_experiment):
    machine = {"recent": 0, "saved": 0, "put_off": 0}
    light, heavy = (
        make_experiment(workload={"load": load, "rush": 0}, machine=machine) for load in (0.2, 4.0)
    )
    bounds = [
        upper_bound(draw_day(experiment, experiment["variants"][0], 1), experiment["seconds"])
        for experiment in (light, heavy)
    ]
    assert bounds[0] > 0.99 and bounds[1] < 0.75
