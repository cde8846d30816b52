"""Draws a simulated day from an experiment and a seed: deployment, fleet, arrivals and faults.

The same experiment and seed always give the same day.
"""

import copy
import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from rushmux.lab import faults, trace, workload
from rushmux.lab.experiment_schema import Experiment, Variant
from rushmux.lab.faults import FaultEvent
from rushmux.lab.fleet import Fleet, node_name, zone_name
from rushmux.lab.json_path import set_value
from rushmux.lab.workload import NEW_OBJECT, Arrival, RequestClasses, Volume
from rushmux.settings import deployment as deployments
from rushmux.settings.deployment import Deployment
from rushmux.standins.service_model import Shape

EXAMPLE = json.loads(Path(deployments.__file__).with_name("example.json").read_text())
REQUEST_CLASSES = RequestClasses(read="lectura", write="archivo-nuevo")  # of `EXAMPLE`
SCALED_PLAN_FIELDS = ("nominal", "reserve", "limit", "burst", "slack")
SLOW_START_MARGIN = 0.8  # fraction of its capacity that gateways send to a node in slow start
MS_PER_SECOND = 1_000


class Day(NamedTuple):
    """The input of the simulation of one day."""

    deployment: Deployment
    fleet: Fleet
    arrivals: list[Arrival]
    events: list[FaultEvent]


def build_fleet(experiment: Experiment) -> Fleet:
    """Returns the fleet of an experiment."""
    spec, example = experiment["fleet"], EXAMPLE["fleet"]
    machine = Shape(
        **{
            name: tuple(value) if isinstance(value, list) else value
            for name, value in experiment["machine"].items()
        }
    )
    machine = machine._replace(
        cold_start=example["cold_start"],
        warm_within=example["warm_within_ms"] / MS_PER_SECOND,
        fall_multiple=example["fall_multiple"],
        cold_span=example["cold_span_ms"] / MS_PER_SECOND,
    )
    return Fleet(
        gateway_count=spec["edges"],
        node_count=spec["nodes"],
        zone_count=spec["zones"],
        machine=machine,
        speed_sigma=spec["unlike"],
        max_connections=spec["connections"],
    )


def fleet_capacity(experiment: Experiment) -> float:
    """Returns the units per second of all nodes together after slow start."""
    fleet = build_fleet(experiment)
    return fleet.node_count * fleet.machine.cores * fleet.machine.speed / fleet.machine.unit


def draw_volumes(experiment: Experiment, seed: int) -> list[Volume]:
    """Returns the volumes of a day and their rates, drawn or from the trace.

    Raises:
        TraceError: The trace cannot be used.
        OSError: The trace cannot be read.
    """
    if "trace" in experiment:
        return _trace_volumes(experiment, trace.read(experiment["trace"]).plans)
    return workload.draw_volumes(
        {name: plan["nominal"] for name, plan in EXAMPLE["plans"].items()},
        experiment["volumes"],
        cell_count=experiment["fleet"]["nodes"],
        gateway_count=experiment["fleet"]["edges"],
        capacity=fleet_capacity(experiment),
        settings=_workload_settings(experiment),
        seed=seed,
    )


def _workload_settings(experiment: Experiment) -> dict[str, Any]:
    return {**workload.DEFAULTS, **experiment["workload"]}


def _trace_volumes(experiment: Experiment, plans: Mapping[str, str]) -> list[Volume]:
    """Returns the volumes in a trace's header, each served by all gateways."""
    gateways = tuple(range(experiment["fleet"]["edges"]))
    return [Volume(name, plan, 1.0, (0,), gateways) for name, plan in plans.items()]


def build_deployment(experiment: Experiment, variant: Variant, volumes: Sequence[Volume]) -> Deployment:
    """Returns the deployment of a variant: the example, sized to the fleet and the volumes of the day.

    Plans are scaled so that all reserves together are `reserved` of the fleet's capacity; then the values of
    the experiment and the variant are set.  The deployment is not verified: experiments also try those that
    the verifier rejects.

    Raises:
        DeploymentError: The result is not a valid deployment.
    """
    raw, fleet = copy.deepcopy(EXAMPLE), build_fleet(experiment)
    _scale_plans(raw, experiment, fleet, volumes)
    raw["folders"] = {
        volume.name: {"plan": volume.plan, "edges": list(volume.gateways)} for volume in volumes
    }
    raw["fleet"].update(gateways=fleet.gateway_count, second_copies=False)
    raw["fleet"]["cold_units"] = _slow_start_units(fleet.machine)
    raw["bounds"], raw["routes"] = {}, []
    for path, value in {**experiment["set"], **variant.get("set", {})}.items():
        set_value(raw, path, value)
    return deployments.build(raw, "deployment", reject_findings=False)


def _scale_plans(
    raw: dict[str, Any], experiment: Experiment, fleet: Fleet, volumes: Sequence[Volume]
) -> None:
    reserves = sum(raw["plans"][volume.plan]["reserve"] for volume in volumes)
    factor = experiment["reserved"] * fleet_capacity(experiment) / reserves
    for plan in raw["plans"].values():
        for field in SCALED_PLAN_FIELDS:
            if field in plan:
                plan[field] = plan[field] * factor
        if plan.get("limit"):
            plan["burst"] = max(plan["burst"], raw["fleet"]["most_units"] * fleet.gateway_count)


def _slow_start_units(machine: Shape) -> float:
    """Returns the units that all gateways may send to a node in slow start within `cold_span`."""
    return (
        machine.cores
        * machine.speed
        / machine.unit
        * machine.cold_start
        * machine.cold_span
        * SLOW_START_MARGIN
    )


def draw_day(experiment: Experiment, variant: Variant, seed: int) -> Day:
    """Draws the day of a seed.

    Raises:
        TraceError: The trace cannot be used.
        WorkloadError: The day would have too many operations.
        DeploymentError: The variant has no valid deployment.
    """
    fleet, arrivals = build_fleet(experiment), None
    if "trace" in experiment:
        recorded = trace.read(experiment["trace"])
        volumes = _trace_volumes(experiment, recorded.plans)
        arrivals = _trace_arrivals(recorded.arrivals, fleet, experiment["seconds"])
    else:
        volumes = draw_volumes(experiment, seed)
    deployment = build_deployment(experiment, variant, volumes)
    events = _draw_faults(experiment, fleet, volumes, seed)
    if arrivals is None:
        arrivals = workload.draw_arrivals(
            volumes,
            _workload_settings(experiment),
            seconds=experiment["seconds"],
            seed=seed,
            events=events,
            request_classes=REQUEST_CLASSES,
            max_units=deployment.settings.max_units,
        )
    return Day(deployment, fleet, arrivals, events)


def _trace_arrivals(recorded: Sequence[Arrival], fleet: Fleet, seconds: float) -> list[Arrival]:
    """Returns the arrivals of a trace within the day, mapped to the cells of the fleet."""
    return [
        arrival._replace(cell=NEW_OBJECT if arrival.is_write else arrival.cell % fleet.node_count)
        for arrival in recorded
        if arrival.at <= seconds
    ]


def _draw_faults(
    experiment: Experiment, fleet: Fleet, volumes: Sequence[Volume], seed: int
) -> list[FaultEvent]:
    return faults.draw(
        faults.parse(experiment["troubles"]),
        seed,
        {node_name(cell): zone_name(cell, fleet) for cell in range(fleet.node_count)},
        range(fleet.gateway_count),
        {volume.name: volume.plan for volume in volumes},
    )
