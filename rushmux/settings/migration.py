"""Makes the deployment file of the new shape from one of the old: nodes that tell their load to edges that
ask, a meter for the fleet, order by key, plans without reserves, no second copies.  No I/O.

`moved` gives the new file's object and what could not be carried over, as (place, what became of it).
"""

import copy
from typing import NamedTuple


class Shape(NamedTuple):
    """What the new deployment is like; None or empty: as before."""

    load: str = "probe"
    meter_ms: float | None = None
    in_order: tuple[str, ...] = ()
    order_rest_ms: float | None = None
    gateways: int | None = None
    reserves: bool = True
    copies: bool = True


def moved(raw: dict, shape: Shape) -> tuple[dict, list[tuple[str, str]]]:
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
        without_reserves(new, left)
    if not shape.copies:
        without_copies(new, left)
    if shape.gateways is not None:
        fewer_edges(new, shape.gateways, left)
    left.append(
        (
            "/fleet/cold_units",
            f"kept at {fleet['cold_units']}, which was for the nodes of before: "
            "state what a new one always bears",
        )
    )
    return new, left


def without_reserves(new, left):
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


def without_copies(new, left):
    new["fleet"]["second_copies"] = False
    kept = []
    for number, route in enumerate(new.get("routes", [])):
        if route.pop("second_copy", False):
            left.append((f"/routes/{number}/second_copy", "dropped: the new nodes take no second copies"))
        if set(route) - {"lane", "plan"}:
            kept.append(route)
    if "routes" in new:
        new["routes"] = kept


def fewer_edges(new, gateways, left):
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
