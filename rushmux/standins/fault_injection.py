"""Runs fault scenarios on fleets of real processes and checks their recordings."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from rushmux.settings.deployment import build
from rushmux.standins import scenario as days
from rushmux.standins.fault_scenario import LIMITED_FOLDER, Scenario, Step, raw_deployment
from rushmux.standins.policy_history_checker import check_history
from rushmux.standins.processes import ProcessStartError
from rushmux.standins.scenario_fleet import Row, ScenarioFleet
from rushmux.standins.script import Event, Script

POLL_INTERVAL = 0.02
"""Seconds between reads of the planners' recordings."""
SETTLE_TIME, SETTLE_POLL_INTERVAL = 25.0, 0.2
"""Seconds for all members to apply the same version at the end, and between checks."""
CLIENT_SEED = 7


class ScenarioRun:
    """A run of a scenario on a started fleet."""

    def __init__(self, fleet: ScenarioFleet):
        self._fleet, self._loop = fleet, fleet.loop

    async def run(self) -> None:
        """Runs the steps and the clients, then waits at most SETTLE_TIME for the fleet to settle."""
        steps = _Steps(self._fleet.scenario.steps, self._fleet.applied_commands)
        length, begun_at = self._fleet.scenario.sizes["length"], self._loop.time()
        clients, tasks = self._loop.create_task(self._run_clients()), []
        while steps.pending or self._loop.time() - begun_at < length:
            elapsed = self._loop.time() - begun_at
            tasks += [self._loop.create_task(self._fleet.run_step(step)) for step in steps.take_due(elapsed)]
            tasks += [self._loop.create_task(self._run_later(step)) for step in steps.take_triggered()]
            if elapsed > length + SETTLE_TIME:
                break
            await asyncio.sleep(POLL_INTERVAL)
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        await clients
        until = self._loop.time() + SETTLE_TIME
        while self._loop.time() < until and not self._fleet.is_settled():
            await asyncio.sleep(SETTLE_POLL_INTERVAL)

    async def _run_clients(self) -> None:
        sizes = self._fleet.scenario.sizes
        surge = Event(0.1, "surge", LIMITED_FOLDER, size=sizes["surge"], seconds=sizes["length"])
        script = Script(sizes["length"], (surge,))
        await days.run_day(self._fleet, script, days.Load(sizes["load"]), CLIENT_SEED)

    async def _run_later(self, step: Step) -> None:
        await asyncio.sleep(step.at)
        await self._fleet.run_step(step)


class _Steps:
    """The pending steps of a scenario."""

    def __init__(self, steps: Iterable[Step], applied_commands: Callable[[], list[Row]]):
        steps = list(steps)
        self._timed = sorted((step for step in steps if not step.on), key=lambda step: step.at)
        self._triggered = [step for step in steps if step.on]
        self._applied_commands = applied_commands
        self._seen = {_command_key(row) for row in applied_commands()} if self._triggered else set()

    @property
    def pending(self) -> bool:
        return bool(self._timed or self._triggered)

    def take_due(self, elapsed: float) -> list[Step]:
        """Removes and returns due steps."""
        due = [step for step in self._timed if step.at <= elapsed]
        self._timed = self._timed[len(due) :]
        return due

    def take_triggered(self) -> list[Step]:
        """Removes and returns the steps whose command was applied since the last call."""
        taken: list[Step] = []
        for row in self._applied_commands() if self._triggered else ():
            if _command_key(row) not in self._seen:
                self._seen.add(_command_key(row))
                triggered = [step for step in self._triggered if step.on == row["order"]]
                self._triggered = [step for step in self._triggered if step not in triggered]
                taken += triggered
        return taken


def _command_key(row: Row) -> tuple[int, str]:
    return row["index"], row["order"]


class ScenarioResult(NamedTuple):
    """The result of a scenario: breaches (none: it passed) and counts of events."""

    scenario: str
    breaches: list[str]
    facts: Counter


async def run_scenario(scenario: Scenario, folder: Path, seed: int = 1) -> ScenarioResult:
    """Runs a scenario on a fleet of its own and checks the recordings.

    Args:
        scenario: The scenario.
        folder: For data, logs and recordings.
        seed: Seed of all random draws.
    """
    folder.mkdir(parents=True, exist_ok=True)
    raw = raw_deployment(scenario)
    file = folder / "deployment.json"
    file.write_text(json.dumps(raw, indent=2))
    deployment = build(raw)
    fleet = ScenarioFleet(scenario, file, deployment, folder, seed)
    try:
        await fleet.start(int(scenario.sizes["nodes"]), int(scenario.sizes["edges"]))
        await ScenarioRun(fleet).run()
        settled = fleet.is_settled()
    finally:
        await fleet.stop()
    breaches, facts = check_history(
        fleet.all_records(), deployment, scenario.expectations, fleet.operator_commands, fleet.stopped
    )
    if not settled:
        breaches.append(f"not all members applied the same policy version within {SETTLE_TIME:g} s")
    return ScenarioResult(scenario.name, breaches, facts)


async def run_scenarios(
    scenarios: Sequence[Scenario],
    folder: Path,
    *,
    jobs: int,
    seed: int,
    show: Callable[[str], None] = lambda line: None,
    show_facts: bool = False,
) -> list[ScenarioResult]:
    """Runs scenarios, each in a folder of its own.

    Args:
        scenarios: The scenarios.
        folder: The parent of their folders.
        jobs: How many run concurrently.
        seed: Seed of each scenario.
        show: Called with a line when a scenario ends.
        show_facts: Whether to show the counts too.
    """
    slots = asyncio.Semaphore(jobs)

    async def run_one(scenario: Scenario) -> ScenarioResult:
        async with slots:
            result = await _run_or_fail(scenario, folder / scenario.name, seed)
        show(f"{scenario.name}: " + ("; ".join(result.breaches) or "kept"))
        if show_facts:
            show("  " + ", ".join(f"{name} {count}" for name, count in result.facts.items()))
        return result

    return list(await asyncio.gather(*(run_one(scenario) for scenario in scenarios)))


async def _run_or_fail(scenario: Scenario, folder: Path, seed: int) -> ScenarioResult:
    """Runs a scenario; a failure to run it counts as a breach."""
    try:
        return await run_scenario(scenario, folder, seed)
    except (ProcessStartError, TimeoutError, OSError) as error:
        reason = f"it could not be run: {type(error).__name__}: {error}"
        return ScenarioResult(scenario.name, [reason], Counter())
