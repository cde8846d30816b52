"""The clock, random generator, deployment and records that the parts of a simulation share."""

import random
from dataclasses import dataclass, field
from typing import Any

from rushmux.lab.fleet import Fleet
from rushmux.lab.timer_loop import TimerLoop
from rushmux.settings.deployment import Deployment


class EventRecorder:
    """Collects the records of a day for `standins.checker`.

    Attributes:
        records: Rows with a `kind`, a time `at` in seconds, and the fields of the kind.
    """

    def __init__(self, clock: TimerLoop, enabled: bool):
        self.clock, self.enabled = clock, enabled
        self.records: list[dict[str, Any]] = []

    def record(self, kind: str, **fields: Any) -> None:
        """Adds a row if recording is enabled."""
        if self.enabled:
            fields["kind"], fields["at"] = kind, self.clock.now
            self.records.append(fields)


@dataclass(eq=False, slots=True)
class SimulationContext:
    """Shared by nodes, gateways, network and faults of one simulation."""

    deployment: Deployment
    fleet: Fleet
    seed: int
    recorder: EventRecorder
    clock: TimerLoop
    generator: random.Random = field(init=False)
    """Draws delays, message loss, errors and client backoff, in the order of events."""

    def __post_init__(self):
        self.generator = random.Random(f"{self.seed}/ways")
