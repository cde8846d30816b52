"""A bounded model checker of the policy rollout: explores all orders of a few events, breadth first.

States with equal keys are explored once.  Time steps, messages in flight and the number of each fault are
bounded.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from rushmux.standins.policy_model_key import state_key
from rushmux.standins.policy_model_state import MEMBERS, Bounds, ModelState
from rushmux.standins.policy_parts import REAL_PARTS, PolicyParts

DEFAULT_BOUNDS = Bounds()
PREFIX_BOUNDS = Bounds(messages=9, steps=99)  # for the moves that lead to the first state
LIMIT_GOES_DOWN = (90.0, 30.0)  # units per second under the first policy and under the change
LIMIT_GOES_UP = (30.0, 90.0)


def _joint(*names: str, planner: int = 1) -> tuple[str, ...]:
    """The moves by which members become joint: they persist the staged policy and report it."""
    return tuple(
        move
        for name in names
        for move in 2
        * (
            f"{name} requests a lease of planner {planner}",
            f"request of {name} arrives, planner {planner}",
            f"grant of {name} arrives, planner {planner}",
        )
    )


STARTS = {
    "all have leases": (),
    "one is without a lease": (*_joint("edge0")[:3], "time passes", "time passes", *_joint(*MEMBERS[:2])),
    "planner 2 leads, the third has a lease of planner 1": (
        "planner 2 takes over",
        *_joint(*MEMBERS[:2], planner=2),
    ),
    "two are joint, the third serves on": _joint(*MEMBERS[:2]),
    "all are joint, a decision is pending": (*_joint(*MEMBERS), "planner 1 proposes"),
}
"""Moves that lead to the first state of a check, by the name of that state."""


class CheckResult(NamedTuple):
    """The result of a check."""

    states: int
    """Number of states that were reached."""
    depth: int
    """Number of events up to which all orders were explored."""
    outcomes: Counter[str]
    """Number of states with the change in progress, and with each version active after it."""
    violation: str | None
    """The first violation, found by a shortest trace."""
    trace: tuple[str, ...]
    """The moves that led to the violation."""


def start_state(parts: PolicyParts, limits: tuple[float, float], moves: Sequence[str]) -> ModelState:
    """The state that a sequence of moves leads to.

    Raises:
        ValueError: A move is not possible at its place in the sequence.
    """
    state = ModelState(parts, *limits)
    for name in moves:
        possible = {move.name: move for move in state.moves(PREFIX_BOUNDS)}
        if name not in possible:
            raise ValueError(f"move '{name}' is not possible here")
        state = state.copied()
        possible[name].apply(state)
    state.steps = 0
    return state


def check(
    bounds: Bounds = DEFAULT_BOUNDS,
    *,
    parts: PolicyParts = REAL_PARTS,
    limits: tuple[float, float] = LIMIT_GOES_DOWN,
    start: Sequence[str] = (),
) -> CheckResult:
    """Explores all orders of events within the bounds.

    Args:
        bounds: Bounds on events and states.
        parts: The classes under test.
        limits: The folder's limit (units per second) under the first policy and under the change.
        start: Names of the moves that lead to the first state.
    """
    first = start_state(parts, limits, start)
    seen = {state_key(first)}
    frontier: list[_Reached] = [_Reached(first, ())]
    outcomes: Counter[str] = Counter()
    depth = 0
    while frontier:
        following = []
        for reached in (after for before in frontier for after in _successors(before, bounds)):
            key = state_key(reached.state)
            if key in seen:
                continue
            seen.add(key)
            outcomes[_outcome(reached.state)] += 1
            violation = reached.state.violation()
            if violation is not None:
                return CheckResult(len(seen), depth, outcomes, violation, reached.trace)
            if len(seen) >= bounds.states:
                return CheckResult(len(seen), depth, outcomes, None, ())
            following.append(reached)
        frontier = following
        depth += 1
    return CheckResult(len(seen), depth, outcomes, None, ())


class _Reached(NamedTuple):
    """A state and the names of the moves that led to it."""

    state: ModelState
    trace: tuple[str, ...]


def _successors(reached: _Reached, bounds: Bounds) -> Iterator[_Reached]:
    for move in reached.state.moves(bounds):
        state = reached.state.copied()
        move.apply(state)
        yield _Reached(state, (*reached.trace, move.name))


def _outcome(state: ModelState) -> str:
    machine = state.machine
    return "in progress" if machine.staged is not None else f"version {machine.active.version}"
