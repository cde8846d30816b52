"""What the parts of a scheduler simulation share: clock, chance, deployment and the records of the day."""

import random
from dataclasses import dataclass, field
from typing import Any

from rushmux.lab.fleet import Fleet
from rushmux.lab.timer_loop import TimerLoop
from rushmux.settings.deployment import Deployment


class EventRecorder:
    """Keeps the records of a day for `standins.checker`.

    Attributes:
        records: Kept rows; each has a `kind`, a time `at` in seconds, and the fields of its kind.
    """

    def __init__(self, clock: TimerLoop, enabled: bool):
        self.clock, self.enabled = clock, enabled
        self.records: list[dict[str, Any]] = []

    def record(self, kind: str, **fields: Any) -> None:
        """Keeps a row, unless records are off."""
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
    """Draws delays, message loss, errors and the backoff of clients, in the order of events."""

    def __post_init__(self):
        self.generator = random.Random(f"{self.seed}/ways")
