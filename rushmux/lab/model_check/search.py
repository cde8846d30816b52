"""Searches schedules of a scenario for a breach: enumerated choices, worst first, then random ones."""

import random
from collections.abc import Callable, Iterator

from rushmux.lab.model_check.choices import Choices, EnumeratedChoices, RandomChoices
from rushmux.lab.model_check.history import Breach
from rushmux.lab.model_check.scenarios import Scenario
from rushmux.lab.model_check.schedule import Schedule
from rushmux.routes.bounds import Bounds
from rushmux.scheduling.scheduler import Scheduler

SEED_BITS = 32
SEEDS_PER_SEARCH = 1_000  # scheduler seeds set aside for each search, so that searches share none


def find_breach(
    bounds: Bounds,
    scenario: Scenario,
    request_class: str,
    plan: str,
    *,
    max_schedules: int,
    seed: int = 1,
    make_scheduler: Callable = Scheduler,
) -> Breach | None:
    """Returns the first breach of any rule in at most `max_schedules` schedules of a scenario, or None."""
    gateway_count = 1 if scenario.single_gateway else bounds.settings.gateway_count
    for number, choices in enumerate(_choices(max_schedules, random.Random(seed))):
        schedule = Schedule(
            bounds,
            choices,
            behaviours=scenario.behaviours,
            gateway_count=gateway_count,
            seed=seed * SEEDS_PER_SEARCH + number,
            has_delays=scenario.has_delays,
            make_scheduler=make_scheduler,
        )
        end = scenario.set_up(schedule, request_class, plan)
        breach = schedule.run(end)
        if breach is not None:
            return breach
    return None


def _choices(max_schedules: int, generator: random.Random) -> Iterator[Choices]:
    """Yields enumerated choices for up to half of the schedules, and random ones for the others."""
    choices: Choices | None = EnumeratedChoices()
    for number in range(max_schedules):
        if choices is None or number >= max_schedules // 2:
            choices = RandomChoices(random.Random(generator.getrandbits(SEED_BITS)))
        yield choices
        choices = choices.next_choices()
