"""The deployment file: JSON that is validated and converted to records.

The scheduler uses only the `SchedulerSettings`; the rest is for sessions and files.
"""

import copy
import json
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from rushmux.routes import bounds as route_bounds
from rushmux.routes import resolve, verifier
from rushmux.routes.findings import Finding
from rushmux.scheduling.interface import DedupScope, Idempotency, QosPlan, RequestClass, SchedulerSettings
from rushmux.settings.deployment_checks import SCHEMA, Fault, check, with_defaults

MS_PER_SECOND = 1000


class DeploymentError(Exception):
    """A deployment file that cannot be used.

    Attributes:
        source: The origin of the file, for the message.
        faults: Places in the file with what is wrong there.
        findings: The verifier's findings among the faults.
    """

    def __init__(self, source, faults: Sequence[Fault], findings: Sequence[Finding] = ()):
        super().__init__("\n".join(f"{source}: {place}: {text}" for place, text in faults))
        self.source, self.faults, self.findings = source, faults, findings


class Folder(NamedTuple):
    """A client folder: its plan, and the numbers of the edges that serve it; None: all edges."""

    plan: str
    edges: tuple[int, ...] | None


class SessionLimits(NamedTuple):
    """Limits of client sessions; times in seconds."""

    request_timeout: float
    max_sessions: int
    max_handles: int
    max_pipelined: int
    max_concurrent: int
    packet_timeout: float
    unread_timeout: float


class FileSettings(NamedTuple):
    """How files are stored and cached; `max_extents` is per block, `max_row_age` in seconds."""

    object_bytes: int
    max_extents: int
    max_row_age: float
    unit_bytes: int


class Deployment(NamedTuple):
    """The contents of a deployment file."""

    settings: SchedulerSettings
    roles: dict[str, str]
    folders: dict[str, Folder]
    sessions: SessionLimits
    files: FileSettings
    buffer: dict | None
    """Settings of the write-back buffer, times in seconds; None: off."""
    drain_grace: float
    """Seconds."""
    connect_timeout: float
    """Seconds."""
    connections_per_node: int
    planner_quotas: bool
    """Whether planners assign the shares of limits."""
    planner_policy: bool
    """Whether planners decide the fleet policy (`settings.policy`)."""
    bounds: route_bounds.Bounds
    """The bounds for the verification of routes."""
    routes: list[resolve.ResolvedRoute]
    raw: dict
    """The file's object, unchanged."""

    def units(self, size: int) -> float:
        """Returns the units of an operation that transfers `size` bytes."""
        return min(self.settings.max_units, float(max(1, -(-size // self.files.unit_bytes))))

    def limits(self) -> dict[str, float]:
        """Returns the limit, in units per second, of each folder whose plan has one."""
        limits = {name: self.settings.plans[folder.plan].limit for name, folder in self.folders.items()}
        return {name: limit for name, limit in limits.items() if limit}

    def edge_count(self, folder: str) -> int:
        """Returns the number of edges that serve a folder."""
        edges = self.folders[folder].edges
        return len(edges) if edges else self.settings.gateway_count


def build(raw: dict, source: str = "deployment", reject_findings: bool = True) -> Deployment:
    """Builds a deployment.

    Args:
        raw: The file's object.
        source: The origin of the file, for messages.
        reject_findings: Whether the verifier's findings are faults; they are not in the lab.

    Raises:
        DeploymentError: The file has faults; all are listed.
    """
    faults, rows = check(raw)
    if rows is None:
        raise DeploymentError(source, faults)
    original = copy.deepcopy(raw)
    raw = with_defaults(SCHEMA, {"sessions": {}, "files": {}, "bounds": {}, **raw})
    settings = _scheduler_settings(raw)
    routes = resolve.resolve(rows, settings.request_classes, settings.plans, settings.max_attempts)
    settings = settings._replace(route_policies=resolve.route_policies(routes))
    bounds = _bounds(settings, raw["fleet"], raw["bounds"])
    findings = verifier.verify(bounds, routes)
    if faults or (findings and reject_findings):
        verifier_faults = [(finding.place, finding.text) for finding in findings]
        raise DeploymentError(source, faults + verifier_faults, findings)
    fleet = raw["fleet"]
    raw["roles"].setdefault("write_out", raw["roles"]["write"])
    return Deployment(
        settings=settings,
        roles=raw["roles"],
        folders=_folders(raw["folders"]),
        sessions=_sessions(raw["sessions"]),
        files=_files(raw["files"], fleet["unit_bytes"]),
        buffer=_buffer(raw.get("buffer")),
        drain_grace=fleet["drain_grace_ms"] / MS_PER_SECOND,
        connect_timeout=fleet["dial_ms"] / MS_PER_SECOND,
        connections_per_node=fleet["links"],
        planner_quotas=fleet["shares"],
        planner_policy=fleet["policy"],
        bounds=bounds,
        routes=routes,
        raw=original,
    )


def _request_class(name: str, row: dict) -> RequestClass:
    return RequestClass(
        name,
        resolve.ticks(row["quoted_ms"]),
        resolve.ticks(row["hard_stop_ms"]),
        row["utility"],
        Idempotency(row["repeat"]),
        DedupScope(row["group"]),
        int(row["window_ms"] * resolve.TICKS_PER_MS),
        row["in_order"],
    )


def _scheduler_settings(raw: dict) -> SchedulerSettings:
    fleet, budget = raw["fleet"], raw["fleet"].get("budget")
    interval, connect_timeout = resolve.ticks(fleet["tick_ms"]), resolve.ticks(fleet["dial_ms"])
    window, delay = resolve.ticks(fleet["cold_span_ms"]), resolve.ticks(raw["bounds"]["way_ms"])
    return SchedulerSettings(
        request_classes={name: _request_class(name, row) for name, row in raw["lanes"].items()},
        plans={name: QosPlan(name, **row) for name, row in raw["plans"].items()},
        gateway_count=fleet["gateways"],
        round_interval=interval,
        polls_endpoints=False,
        poll_interval=0,
        max_attempts=fleet["executions"],
        max_retry_after=resolve.ticks(fleet["come_back_ms"]),
        mean_units=fleet["mean_units"],
        max_units=fleet["most_units"],
        slow_start_units=fleet["cold_units"],
        slow_start_window=route_bounds.scheduler_window(window, delay, connect_timeout, interval),
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


def _bounds(settings: SchedulerSettings, fleet: dict, bounds: dict) -> route_bounds.Bounds:
    overload_units = bounds.get("cold_falls_units", fleet["cold_units"] * fleet["fall_multiple"])
    return route_bounds.Bounds(
        settings,
        network_delay=resolve.ticks(bounds["way_ms"]),
        connect_timeout=resolve.ticks(fleet["dial_ms"]),
        drain_grace=resolve.ticks(fleet["drain_grace_ms"]),
        restarts=bounds["restarts"],
        overload_window=resolve.ticks(fleet["cold_span_ms"]),
        overload_units=overload_units,
        served_units=bounds.get("cold_serves_units", overload_units / fleet["fall_multiple"]),
        max_operations=bounds["held"],
        unit_bytes=fleet["unit_bytes"],
        contended_cell_fraction=bounds["cold_wanted"],
    )


def _folders(rows: dict) -> dict[str, Folder]:
    return {
        name: Folder(row["plan"], tuple(row["edges"]) if "edges" in row else None)
        for name, row in rows.items()
    }


def _sessions(row: dict) -> SessionLimits:
    return SessionLimits(
        row["patience_ms"] / MS_PER_SECOND,
        row["most"],
        row["handles"],
        row["pipelined"],
        row["window"],
        row["packet_ms"] / MS_PER_SECOND,
        row["unread_ms"] / MS_PER_SECOND,
    )


def _files(row: dict, unit_bytes: int) -> FileSettings:
    return FileSettings(row["object_bytes"], row["extents"], row["fresh_ms"] / MS_PER_SECOND, unit_bytes)


def _buffer(row: dict | None) -> dict | None:
    if row is None or not row["on"]:
        return None
    return {
        name.removesuffix("_ms"): value / MS_PER_SECOND if name.endswith("_ms") else value
        for name, value in row.items()
        if name != "on"
    }


def load(path) -> Deployment:
    """Reads a deployment file.

    Raises:
        DeploymentError: The file cannot be read, is not JSON or has faults.
    """
    try:
        raw = json.loads(Path(path).read_text())
    except OSError as error:
        raise DeploymentError(path, [("/", f"cannot be read: {error.strerror}")]) from error
    except json.JSONDecodeError as error:
        raise DeploymentError(path, [(f"line {error.lineno}, column {error.colno}", error.msg)]) from error
    except UnicodeDecodeError as error:
        raise DeploymentError(path, [("/", f"is not UTF-8: {error.reason} at byte {error.start}")]) from error
    if not isinstance(raw, dict):
        raise DeploymentError(path, [("/", "the file must be a JSON object")])
    return build(raw, str(path))
