"""A bounded model checker of the policy's rollout: all orders of a few events, breadth first.

States are compared by what they hold, so that one that was reached before is not explored again.  The bounds
are on time steps, messages in flight, and how often each fault may happen; `check` says how many states there
were.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from rushmux.standins.policy_model_key import state_key
from rushmux.standins.policy_model_state import MEMBERS, Bounds, ModelState
from rushmux.standins.policy_parts import REAL_PARTS, PolicyParts

DEFAULT_BOUNDS = Bounds()
PREFIX_BOUNDS = Bounds(messages=9, steps=99)  # of the moves that lead to a start
LIMIT_GOES_DOWN = (90.0, 30.0)  # units a second by the first policy and by the change
LIMIT_GOES_UP = (30.0, 90.0)


def _joint(*names: str, planner: int = 1) -> tuple[str, ...]:
    """The moves by which members persist the staged policy and report it."""
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
"""Where a check begins: what has happened before, by the names of moves."""


class CheckResult(NamedTuple):
    """What a check found."""

    states: int
    """States that were reached."""
    depth: int
    """Up to so many events all orders were explored."""
    outcomes: Counter[str]
    """How many states have the change in progress, and how many have each version active after it."""
    violation: str | None
    """The first violation, by a shortest trace."""
    trace: tuple[str, ...]
    """The moves that led to it."""


def start_state(parts: PolicyParts, limits: tuple[float, float], moves: Sequence[str]) -> ModelState:
    """The state that moves lead to.

    Raises:
        ValueError: One of them is not possible where it stands.
    """
    state = ModelState(parts, *limits)
    for name in moves:
        possible = {move.name: move for move in state.moves(PREFIX_BOUNDS)}
        if name not in possible:
            raise ValueError(f"'{name}' cannot be here")
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
    """Explores all orders of events until as many states were reached as the bounds allow.

    Args:
        bounds: How much may happen.
        parts: The classes that run.
        limits: The folder's limit (units a second) by the first policy and by the change.
        start: Names of the moves that happened before.
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
    """A state, and the names of the moves that led to it."""

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
