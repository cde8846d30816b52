"""The deployment file: JSON, checked against schema.json and for what a schema cannot say.

`load` reads a file and gives a `Deployment`; `BadDeployment` lists every fault with its place.
Decisions read `Terms` only; the rest concerns sessions and files.
"""

import copy
import json
from pathlib import Path
from typing import NamedTuple

import jsonschema

from rushmux.fleet.quotas import SAFE_FRACTION
from rushmux.routes import resolve, verifier
from rushmux.scheduling.interface import DedupScope, Idempotency, QosPlan, RequestClass, SchedulerSettings

SCHEMA = json.loads(Path(__file__).with_name("schema.json").read_text())


class BadDeployment(Exception):
    """A file that cannot be used; `faults` is a list of (place, what is wrong), `findings` those of the
    proof among them.
    """

    def __init__(self, source, faults, findings=()):
        super().__init__("\n".join(f"{source}: {place}: {text}" for place, text in faults))
        self.source, self.faults, self.findings = source, faults, findings


class Folder(NamedTuple):
    """A client folder: its plan, and the numbers of the edges that serve it (None: all)."""

    plan: str
    edges: tuple[int, ...] | None


class Sessions(NamedTuple):
    """Bounds of client sessions; times in seconds."""

    patience: float
    most: int
    handles: int
    pipelined: int
    window: int
    packet: float
    unread: float


class Files(NamedTuple):
    """How files are cut: bytes of an object, extents of a block, seconds that names stay fresh."""

    object_bytes: int
    extents: int
    fresh: float
    unit_bytes: int


class Deployment(NamedTuple):
    """Everything that a deployment file states."""

    settings: SchedulerSettings
    roles: dict[str, str]
    folders: dict[str, Folder]
    sessions: Sessions
    files: Files
    buffer: dict | None  # the file's part on the write-back buffer, times in seconds; None: off
    drain_grace: float  # seconds
    dial: float  # seconds
    links: int
    shares: bool  # parts of limits are asked of a planner
    policy: bool  # lanes, plans, routes and the like are decided in common by the planners
    ground: verifier.Ground  # what the proof of the routes was worked out on
    flows: list[resolve.Flow]
    raw: dict  # the file as it was

    def units(self, size: int) -> float:
        """Units of an operation that moves `size` bytes."""
        return min(self.settings.max_units, float(max(1, -(-size // self.files.unit_bytes))))

    def limits(self) -> dict[str, float]:
        """Folders whose plans have a limit, and that limit."""
        return {
            name: self.settings.plans[folder.plan].limit
            for name, folder in self.folders.items()
            if self.settings.plans[folder.plan].limit
        }

    def mounts(self, folder: str) -> int:
        """Through how many edges the folder works."""
        edges = self.folders[folder].edges
        return len(edges) if edges else self.settings.gateway_count


def _filled(schema, value):
    """`value` with the schema's defaults put in."""
    if not isinstance(value, dict):
        return value
    named, other = schema.get("properties", {}), schema.get("additionalProperties")
    filled = {name: part["default"] for name, part in named.items() if "default" in part}
    filled.update(
        {
            name: _filled(named.get(name, other if isinstance(other, dict) else {}), part)
            for name, part in value.items()
        }
    )
    return filled


def _place(path):
    return "/" + "/".join(str(part) for part in path)


def _faults(raw):
    """Faults with their places, and the rows of routes that can be worked with (None: nothing can)."""
    checker = jsonschema.Draft202012Validator(SCHEMA)
    wrong = list(checker.iter_errors(raw))
    found = sorted((_place(fault.absolute_path), fault.message) for fault in wrong)
    rows = [
        fault.absolute_path[1]
        if len(fault.absolute_path) > 1 and fault.absolute_path[0] == "routes"
        else None
        for fault in wrong
    ]
    if None in rows:
        return found, None
    routes = [{} if number in rows else row for number, row in enumerate(raw.get("routes", []))]
    for name, lane in raw["lanes"].items():
        if lane["quoted_ms"] > lane["hard_stop_ms"]:
            found.append(
                (
                    f"/lanes/{name}/quoted_ms",
                    f"{lane['quoted_ms']} is past the hard stop of {lane['hard_stop_ms']}",
                )
            )
        if lane["repeat"] == "referenced" and not lane.get("window_ms"):
            found.append(
                (f"/lanes/{name}/window_ms", "a referenced lane needs the time that repeats are known")
            )
    for role, lane in raw["roles"].items():
        if lane not in raw["lanes"]:
            found.append(
                (f"/roles/{role}", f"there is no lane '{lane}'; there are {', '.join(raw['lanes'])}")
            )
        elif role == "change" and raw["lanes"][lane]["repeat"] == "replayable":
            found.append(
                (f"/roles/{role}", f"lane '{lane}' is replayable; a change of names must not run twice")
            )
        elif role == "change" and raw["lanes"][lane].get("group") != "cell":
            found.append(
                (f"/roles/{role}", f"lane '{lane}' must state group 'cell': only it knows a mark again")
            )
    fleet = raw["fleet"]
    most = fleet.get("most_units", 8)
    for name, plan in raw["plans"].items():
        if plan["reserve"] > plan["nominal"]:
            found.append(
                (f"/plans/{name}/reserve", f"{plan['reserve']} is over the nominal {plan['nominal']}")
            )
        if plan.get("limit") and plan.get("burst", 0) < most * fleet["gateways"]:
            found.append(
                (
                    f"/plans/{name}/burst",
                    f"{plan.get('burst', 0)} is under {most * fleet['gateways']}: "
                    "one largest operation for each gateway, or a part of the burst holds none",
                )
            )
        safe = plan.get("burst", 0) * SAFE_FRACTION / fleet["gateways"]
        if plan.get("limit") and fleet.get("shares") and safe < most:
            found.append(
                (
                    f"/plans/{name}/burst",
                    f"{plan.get('burst', 0)} is under "
                    f"{most * fleet['gateways'] / SAFE_FRACTION:g}: a safe part of it holds no largest "
                    f"operation",
                )
            )
    for name, folder in raw["folders"].items():
        if folder["plan"] not in raw["plans"]:
            found.append((f"/folders/{name}/plan", f"there is no plan '{folder['plan']}'"))
        if name in (".", ".."):
            found.append((f"/folders/{name}", "this name means another folder in a path"))
        for place, number in enumerate(folder.get("edges", ())):
            if number >= fleet["gateways"]:
                found.append((f"/folders/{name}/edges/{place}", f"edge {number} of {fleet['gateways']}"))
    bad = resolve.faults(routes, raw["lanes"], raw["plans"])
    found += [(place, text) for place, text in bad]
    rows = [int(place.split("/")[2]) for place, _ in bad]
    routes = [{} if number in rows else row for number, row in enumerate(routes)]
    buffer = raw.get("buffer", {})
    if buffer.get("folder_bytes", 8 << 20) > buffer.get("edge_bytes", 64 << 20):
        found.append(("/buffer/folder_bytes", "a folder cannot hold more than its edge"))
    if buffer.get("age_ms", 2_000) >= buffer.get("keep_ms", 30_000):
        found.append(("/buffer/keep_ms", "what is given up before it is written out is always lost"))
    largest = raw.get("files", {}).get("object_bytes", 262_144)
    if fleet.get("unit_bytes", 32_768) * most < largest:
        found.append(("/files/object_bytes", f"{largest} bytes count more than most_units {most}"))
    patience = raw.get("sessions", {}).get("patience_ms", 8_000)
    for role, name in raw["roles"].items():
        if raw["lanes"].get(name, {}).get("hard_stop_ms", 0) + 100 > patience:
            found.append(
                (
                    "/sessions/patience_ms",
                    f"{patience} leaves no time to answer after the hard stop of lane '{name}' for {role}",
                )
            )
    return found, routes


def build(raw: dict, source: str = "deployment", proved=True) -> Deployment:
    """The deployment that `raw` states; BadDeployment with all its faults.  Not `proved`: what the proof
    refuses is taken all the same, for the laboratory.
    """
    faults, routes = _faults(raw)
    stated = copy.deepcopy(raw)
    if routes is None:
        raise BadDeployment(source, faults)
    raw = _filled(SCHEMA, {"sessions": {}, "files": {}, "bounds": {}, **raw})
    fleet, budget = raw["fleet"], raw["fleet"].get("budget")
    lanes = {
        name: RequestClass(
            name,
            resolve.ticks(row["quoted_ms"]),
            resolve.ticks(row["hard_stop_ms"]),
            row["utility"],
            Idempotency(row["repeat"]),
            DedupScope(row["group"]),
            int(row["window_ms"] * resolve.TICKS),
            row["in_order"],
        )
        for name, row in raw["lanes"].items()
    }
    plans = {name: QosPlan(name, **row) for name, row in raw["plans"].items()}
    settings = SchedulerSettings(
        request_classes=lanes,
        plans=plans,
        gateway_count=fleet["gateways"],
        round_interval=resolve.ticks(fleet["tick_ms"]),
        polls_endpoints=False,
        poll_interval=0,
        max_attempts=fleet["executions"],
        max_retry_after=resolve.ticks(fleet["come_back_ms"]),
        mean_units=fleet["mean_units"],
        max_units=fleet["most_units"],
        slow_start_units=fleet["cold_units"],
        slow_start_window=verifier.kept(
            resolve.ticks(fleet["cold_span_ms"]),
            resolve.ticks(raw["bounds"]["way_ms"]),
            resolve.ticks(fleet["dial_ms"]),
            resolve.ticks(fleet["tick_ms"]),
        ),
        overload_multiple=fleet["fall_multiple"],
        initial_capacity=fleet["cold_start"],
        warm_up_time=resolve.ticks(fleet["warm_within_ms"]),
        usage_period=resolve.ticks(fleet["meter_span_ms"]),
        key_cooldown=resolve.ticks(fleet["order_rest_ms"]),
        retry_budget_ratio=budget and budget["share"],
        retry_budget_burst=budget["free"] if budget else 0,
        retry_budget_window=resolve.ticks(budget["span_ms"]) if budget else 0,
        allows_hedging=fleet["second_copies"],
        allows_cancellation=True,
        reports_load=fleet["load"] == "probe",
    )
    flows = resolve.flows(routes, lanes, plans, fleet["executions"])
    settings = settings._replace(route_policies=resolve.routes(flows))
    ground = _ground(settings, fleet, raw["bounds"])
    findings = verifier.prove(ground, flows)
    if faults or (findings and proved):
        raise BadDeployment(
            source, faults + [(finding.place, finding.text) for finding in findings], findings
        )
    bounds, files = raw["sessions"], raw["files"]
    raw["roles"].setdefault("write_out", raw["roles"]["write"])
    return Deployment(
        settings=settings,
        roles=raw["roles"],
        folders={
            name: Folder(row["plan"], tuple(row["edges"]) if "edges" in row else None)
            for name, row in raw["folders"].items()
        },
        sessions=Sessions(
            bounds["patience_ms"] / 1000,
            bounds["most"],
            bounds["handles"],
            bounds["pipelined"],
            bounds["window"],
            bounds["packet_ms"] / 1000,
            bounds["unread_ms"] / 1000,
        ),
        files=Files(files["object_bytes"], files["extents"], files["fresh_ms"] / 1000, fleet["unit_bytes"]),
        buffer=_buffer(raw.get("buffer")),
        drain_grace=fleet["drain_grace_ms"] / 1000,
        dial=fleet["dial_ms"] / 1000,
        links=fleet["links"],
        shares=fleet["shares"],
        policy=fleet["policy"],
        ground=ground,
        flows=flows,
        raw=stated,
    )


def _ground(settings, fleet, bounds):
    falls = bounds.get("cold_falls_units", fleet["cold_units"] * fleet["fall_multiple"])
    return verifier.Ground(
        settings,
        way=resolve.ticks(bounds["way_ms"]),
        dial=resolve.ticks(fleet["dial_ms"]),
        drain_grace=resolve.ticks(fleet["drain_grace_ms"]),
        restarts=bounds["restarts"],
        span=resolve.ticks(fleet["cold_span_ms"]),
        falls=falls,
        serves=bounds.get("cold_serves_units", falls / fleet["fall_multiple"]),
        held=bounds["held"],
        unit_bytes=fleet["unit_bytes"],
        wanted=bounds["cold_wanted"],
    )


def _buffer(raw):
    if raw is None or not raw["on"]:
        return None
    return {
        name.removesuffix("_ms"): value / 1000 if name.endswith("_ms") else value
        for name, value in raw.items()
        if name != "on"
    }


def load(path) -> Deployment:
    """Reads a deployment file; BadDeployment where it cannot be read, is no JSON or has faults."""
    try:
        raw = json.loads(Path(path).read_text())
    except OSError as fault:
        raise BadDeployment(path, [("/", f"cannot be read: {fault.strerror}")]) from fault
    except json.JSONDecodeError as fault:
        raise BadDeployment(path, [(f"line {fault.lineno}, column {fault.colno}", fault.msg)]) from fault
    except UnicodeDecodeError as fault:
        raise BadDeployment(path, [("/", f"is not UTF-8: {fault.reason} at byte {fault.start}")]) from fault
    if not isinstance(raw, dict):
        raise BadDeployment(path, [("/", "the file must hold one object")])
    return build(raw, str(path))
