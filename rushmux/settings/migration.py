"""Converts a deployment file to the new kind of deployment.

There nodes report their load on request, the fleet has a usage meter, operations may be ordered
by key, and there may be no reserves and no hedged requests.  No I/O.
"""

import copy
from typing import NamedTuple

Leftover = tuple[str, str]
"""A place in the file, and what was dropped or needs a review there."""


class TargetShape(NamedTuple):
    """The properties of the new deployment; None or empty: unchanged.  False drops reserves or hedging."""

    load: str = "probe"
    meter_ms: float | None = None
    in_order: tuple[str, ...] = ()
    order_rest_ms: float | None = None
    gateways: int | None = None
    reserves: bool = True
    hedging: bool = True


def migrate(raw: dict, shape: TargetShape) -> tuple[dict, list[Leftover]]:
    """Returns the new object for a valid `raw`, and what could not be carried over."""
    new, leftovers = copy.deepcopy(raw), []
    fleet = new["fleet"]
    fleet["load"] = shape.load
    for name, value in (
        ("meter_span_ms", shape.meter_ms),
        ("order_rest_ms", shape.order_rest_ms),
        ("gateways", shape.gateways),
    ):
        if value is not None:
            fleet[name] = value
    for name in shape.in_order:
        if name in new["lanes"]:
            new["lanes"][name]["in_order"] = True
        else:
            leftovers.append((f"/lanes/{name}", "there is no such lane to order by key"))
    if not shape.reserves:
        _drop_reserves(new, leftovers)
    if not shape.hedging:
        _drop_hedging(new, leftovers)
    if shape.gateways is not None:
        _drop_edges(new, shape.gateways, leftovers)
    leftovers.append(
        (
            "/fleet/cold_units",
            f"kept at {fleet['cold_units']}, which was set for the old nodes: "
            "set the units that a new node can take when it starts",
        )
    )
    return new, leftovers


def _drop_reserves(new: dict, leftovers: list[Leftover]) -> None:
    for name, plan in new["plans"].items():
        if plan["reserve"]:
            leftovers.append(
                (
                    f"/plans/{name}/reserve",
                    f"{plan['reserve']} units per second are no longer reserved; "
                    f"the weight {plan['weight']} applies instead",
                )
            )
            plan["reserve"] = 0


def _drop_hedging(new: dict, leftovers: list[Leftover]) -> None:
    new["fleet"]["second_copies"] = False
    kept = []
    for number, route in enumerate(new.get("routes", [])):
        if route.pop("second_copy", False):
            leftovers.append(
                (f"/routes/{number}/second_copy", "dropped: the new nodes do not support second copies")
            )
        if set(route) - {"lane", "plan"}:
            kept.append(route)
    if "routes" in new:
        new["routes"] = kept


def _drop_edges(new: dict, gateways: int, leftovers: list[Leftover]) -> None:
    for name, folder in new["folders"].items():
        removed = [edge for edge in folder.get("edges", ()) if edge >= gateways]
        if removed:
            folder["edges"] = [edge for edge in folder["edges"] if edge < gateways]
            text = "all edges serve it now" if not folder["edges"] else "the others serve it"
            leftovers.append(
                (
                    f"/folders/{name}/edges",
                    f"edges {', '.join(map(str, removed))} no longer exist; {text}",
                )
            )
            if not folder["edges"]:
                del folder["edges"]
