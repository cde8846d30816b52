"""Validation of a deployment file, by its schema and by rules that a schema cannot express.

A fault is a place like `/plans/basico/limit` and what is wrong there, in the file's terms.
"""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import jsonschema

from rushmux.fleet.quotas import SAFE_FRACTION
from rushmux.routes import resolve

SCHEMA = json.loads(Path(__file__).with_name("schema.json").read_text())
ANSWER_MS = 100  # time to answer after an operation's deadline

Fault = tuple[str, str]


def with_defaults(schema: dict, value: Any) -> Any:
    """Returns a value completed with the schema's defaults."""
    if not isinstance(value, dict):
        return value
    named, other = schema.get("properties", {}), schema.get("additionalProperties")
    defaults = {name: part["default"] for name, part in named.items() if "default" in part}
    for name, part in value.items():
        defaults[name] = with_defaults(named.get(name, other if isinstance(other, dict) else {}), part)
    return defaults


def _place(path: Iterable) -> str:
    return "/" + "/".join(str(part) for part in path)


class CheckResult(NamedTuple):
    """The faults of a file, and its routes with faulty rows replaced by empty ones."""

    faults: list[Fault]
    routes: list[dict] | None
    """None: the schema is violated outside the routes, so no further checks are possible."""


def check(raw: Any) -> CheckResult:
    """Validates a file's object."""
    validator = jsonschema.Draft202012Validator(SCHEMA)
    errors = list(validator.iter_errors(raw))
    found = sorted((_place(error.absolute_path), error.message) for error in errors)
    bad_rows = {_route_index(error) for error in errors}
    if None in bad_rows:
        return CheckResult(found, None)
    routes = _blank_rows(raw.get("routes", []), bad_rows)
    for check_part in (_class_faults, _role_faults, _plan_faults, _folder_faults):
        found += check_part(raw)
    unknown = resolve.find_row_faults(routes, raw["lanes"], raw["plans"])
    found += unknown
    routes = _blank_rows(routes, {int(place.split("/")[2]) for place, _ in unknown})
    for check_part in (_buffer_faults, _size_faults, _patience_faults):
        found += check_part(raw)
    return CheckResult(found, routes)


def _route_index(error: jsonschema.ValidationError) -> int | None:
    """Returns the index of the route that has the error, if any."""
    path = error.absolute_path
    return path[1] if len(path) > 1 and path[0] == "routes" else None


def _blank_rows(routes: list[dict], rows: set) -> list[dict]:
    return [{} if number in rows else row for number, row in enumerate(routes)]


def _class_faults(raw: dict) -> Iterator[Fault]:
    for name, row in raw["lanes"].items():
        if row["quoted_ms"] > row["hard_stop_ms"]:
            text = f"{row['quoted_ms']} is past the hard stop of {row['hard_stop_ms']}"
            yield f"/lanes/{name}/quoted_ms", text
        if row["repeat"] == "referenced" and not row.get("window_ms"):
            yield (
                f"/lanes/{name}/window_ms",
                "a referenced lane needs the time for which repeats are recognized",
            )


def _role_faults(raw: dict) -> Iterator[Fault]:
    classes = raw["lanes"]
    for role, name in raw["roles"].items():
        place = f"/roles/{role}"
        if name not in classes:
            yield place, f"there is no lane '{name}'; there are {', '.join(classes)}"
        elif role == "change" and classes[name]["repeat"] == "replayable":
            yield place, f"lane '{name}' is replayable; a change of names must not run twice"
        elif role == "change" and classes[name].get("group") != "cell":
            yield place, f"lane '{name}' must state group 'cell': a repeat is recognized only there"


def _plan_faults(raw: dict) -> Iterator[Fault]:
    fleet = raw["fleet"]
    max_units, gateways = fleet.get("most_units", 8), fleet["gateways"]
    for name, plan in raw["plans"].items():
        burst, burst_place = plan.get("burst", 0), f"/plans/{name}/burst"
        if plan["reserve"] > plan["nominal"]:
            yield f"/plans/{name}/reserve", f"{plan['reserve']} is over the nominal {plan['nominal']}"
        if plan.get("limit") and burst < max_units * gateways:
            why = "the share of each gateway must hold one largest operation"
            yield burst_place, f"{burst} is under {max_units * gateways}: {why}"
        if plan.get("limit") and fleet.get("shares") and burst * SAFE_FRACTION / gateways < max_units:
            why = "a safe fraction of each share must hold one largest operation"
            yield burst_place, f"{burst} is under {max_units * gateways / SAFE_FRACTION:g}: {why}"


def _folder_faults(raw: dict) -> Iterator[Fault]:
    gateways = raw["fleet"]["gateways"]
    for name, folder in raw["folders"].items():
        if folder["plan"] not in raw["plans"]:
            yield f"/folders/{name}/plan", f"there is no plan '{folder['plan']}'"
        if name in {".", ".."}:
            yield f"/folders/{name}", "this name means another folder in a path"
        for place, number in enumerate(folder.get("edges", ())):
            if number >= gateways:
                yield f"/folders/{name}/edges/{place}", f"edge {number} of {gateways}"


def _buffer_faults(raw: dict) -> Iterator[Fault]:
    buffer = raw.get("buffer", {})
    if buffer.get("folder_bytes", 8 << 20) > buffer.get("edge_bytes", 64 << 20):
        yield "/buffer/folder_bytes", "must not exceed edge_bytes, the limit of its edge"
    if buffer.get("age_ms", 2_000) >= buffer.get("keep_ms", 30_000):
        yield "/buffer/keep_ms", "must be longer than age_ms, or data is discarded before it is written out"


def _size_faults(raw: dict) -> Iterator[Fault]:
    fleet = raw["fleet"]
    largest, max_units = raw.get("files", {}).get("object_bytes", 262_144), fleet.get("most_units", 8)
    if fleet.get("unit_bytes", 32_768) * max_units < largest:
        yield "/files/object_bytes", f"{largest} bytes are more units than most_units {max_units}"


def _patience_faults(raw: dict) -> Iterator[Fault]:
    patience = raw.get("sessions", {}).get("patience_ms", 8_000)
    for role, name in raw["roles"].items():
        if raw["lanes"].get(name, {}).get("hard_stop_ms", 0) + ANSWER_MS > patience:
            text = f"{patience} leaves no time to answer after the hard stop of lane '{name}' for {role}"
            yield "/sessions/patience_ms", text
