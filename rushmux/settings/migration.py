"""Makes the deployment file of the new shape from one of the old.

The new shape has nodes that tell their load to edges that ask, a usage meter for the fleet, order by key,
plans without reserves, no hedged requests.  `migrate` gives the new file's object and what could not be
carried over.  No I/O.
"""

import copy
from typing import NamedTuple

Leftover = tuple[str, str]
"""A place in the file and what became of it."""


class TargetShape(NamedTuple):
    """What the new deployment is like; None or empty: as before."""

    load: str = "probe"
    meter_ms: float | None = None
    in_order: tuple[str, ...] = ()
    order_rest_ms: float | None = None
    gateways: int | None = None
    reserves: bool = True
    copies: bool = True


def migrate(raw: dict, shape: TargetShape) -> tuple[dict, list[Leftover]]:
    """The counterpart of `raw`, which must be in order, and what is left of it."""
    new, left = copy.deepcopy(raw), []
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
            left.append((f"/lanes/{name}", "there is no such lane to keep in order"))
    if not shape.reserves:
        _drop_reserves(new, left)
    if not shape.copies:
        _drop_hedging(new, left)
    if shape.gateways is not None:
        _drop_edges(new, shape.gateways, left)
    left.append(
        (
            "/fleet/cold_units",
            f"kept at {fleet['cold_units']}, which was for the nodes of before: "
            "state what a new one always bears",
        )
    )
    return new, left


def _drop_reserves(new: dict, left: list[Leftover]) -> None:
    for name, plan in new["plans"].items():
        if plan["reserve"]:
            left.append(
                (
                    f"/plans/{name}/reserve",
                    f"{plan['reserve']} units a second are reserved no more; "
                    f"the weight {plan['weight']} decides",
                )
            )
            plan["reserve"] = 0


def _drop_hedging(new: dict, left: list[Leftover]) -> None:
    new["fleet"]["second_copies"] = False
    kept = []
    for number, route in enumerate(new.get("routes", [])):
        if route.pop("second_copy", False):
            left.append((f"/routes/{number}/second_copy", "dropped: the new nodes take no second copies"))
        if set(route) - {"lane", "plan"}:
            kept.append(route)
    if "routes" in new:
        new["routes"] = kept


def _drop_edges(new: dict, gateways: int, left: list[Leftover]) -> None:
    for name, folder in new["folders"].items():
        gone = [edge for edge in folder.get("edges", ()) if edge >= gateways]
        if gone:
            folder["edges"] = [edge for edge in folder["edges"] if edge < gateways]
            text = "all edges serve it now" if not folder["edges"] else "the others serve it"
            left.append(
                (
                    f"/folders/{name}/edges",
                    f"edges {', '.join(map(str, gone))} are not there any more; {text}",
                )
            )
            if not folder["edges"]:
                del folder["edges"]
