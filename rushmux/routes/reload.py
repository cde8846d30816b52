"""What a new deployment file may change while an edge runs: its routes, all or none; the rest needs a start.

Decides only; `rushmux.edge.edge` reads the file and tells the scheduler.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from rushmux.settings.deployment import Deployment

MAX_LISTED_ITEMS = 20  # places named; more are counted


class ReloadVerdict(NamedTuple):
    """Whether a file's routes are taken over."""

    accepted: bool
    rejection_reasons: tuple[str, ...]
    """What stands against it."""
    changed: tuple[str, ...]
    """Classes and plans whose routes change, as `class/plan`."""


def differing_places(old: Any, new: Any, place: str = "") -> Iterator[str]:
    """Places, like `/plans/basico/limit`, at which two files differ, but for their routes."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            if place or name != "routes":
                yield from differing_places(old.get(name), new.get(name), f"{place}/{name}")
    elif old != new:
        yield place


def abbreviate(places: list[str]) -> tuple[str, ...]:
    """The first places as text, and how many more there are."""
    more = [f"and {len(places) - MAX_LISTED_ITEMS} more"] if len(places) > MAX_LISTED_ITEMS else []
    return (*places[:MAX_LISTED_ITEMS], *more)


def compare(old: Deployment, new: Deployment) -> ReloadVerdict:
    """Compares a checked deployment with the one in force."""
    rejection_reasons = [
        f"{place}: changes only with a start" for place in differing_places(old.raw, new.raw)
    ]
    if rejection_reasons:
        return ReloadVerdict(False, abbreviate(rejection_reasons), ())
    old_policies, new_policies = old.settings.route_policies, new.settings.route_policies
    changed = [
        f"{class_name}/{plan}"
        for (class_name, plan), policy in new_policies.items()
        if old_policies.get((class_name, plan)) != policy
    ]
    return ReloadVerdict(True, (), tuple(changed))
