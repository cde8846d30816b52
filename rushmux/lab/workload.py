"""Draws the arrivals of a day as an open loop: no arrival depends on an answer."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import numpy
from scipy import stats

from rushmux.lab.errors import LabError
from rushmux.lab.faults import FaultEvent, FaultKind

MAX_OPERATIONS = 5_000_000  # in a day
STEP = 0.25  # seconds for which a rate is constant
NEW_OBJECT = -1  # cell of an operation that creates an object
MAX_CELLS, MAX_GATEWAYS = 6, 4  # of a volume; the number is uniform from one up
GATEWAY_SKEW = 0.6  # mean of the exponential draw of an index into a volume's gateways
MAX_BATCH = 8  # operations that a client sends in a row
BATCH_SPACING = 0.004  # seconds between them
MIN_ZIPF = 1.01  # replaces exponents of one or less, which have no distribution
ZIPF_MARGIN = 1e-9  # keeps exponents above one
VOLUME_STREAM, ARRIVAL_STREAM = 1, 2  # random streams of a seed

WorkloadSettings = Mapping[str, Any]
"""An experiment's `workload`, completed from `DEFAULTS`."""

DEFAULTS: WorkloadSettings = {
    "load": 0.6,
    "write_part": 0.3,
    "mean_units": 1.5,
    "size_sigma": 0.7,
    "keys": 400,
    "zipf": 1.1,
    "rush": 0.3,
    "rush_period": 40.0,
    "batch": 2.0,
    "greedy_part": 0.25,
    "greedy_times": 2.5,
}


class WorkloadError(LabError):
    """A day has too many operations.

    Attributes:
        limit: The maximum for a day.
    """

    def __init__(self, limit: int):
        super().__init__(f"the day has more than {limit} operations")
        self.limit = limit


class Arrival(NamedTuple):
    """One operation that a client means to send."""

    at: float
    """Seconds from the start of the day."""
    volume: str
    request_class: str
    key: str
    """"" where it has none."""
    units: float
    cell: int
    """Negative: any cell, for a new object."""
    gateway: int
    deadline_fraction: float = 1.0
    """Fraction of its class's deadline that the client waits."""

    @property
    def is_write(self) -> bool:
        """Whether it creates an object."""
        return self.cell < 0


class Volume(NamedTuple):
    """A volume and its demand."""

    name: str
    plan: str
    rate: float
    """Mean units per second."""
    cells: tuple[int, ...]
    gateways: tuple[int, ...]


class RequestClasses(NamedTuple):
    """Names of the request classes that reads and writes belong to."""

    read: str
    write: str


def draw_volumes(
    nominal_rates: Mapping[str, float],
    counts: Mapping[str, int],
    *,
    cell_count: int,
    gateway_count: int,
    capacity: float,
    settings: WorkloadSettings,
    seed: int,
) -> list[Volume]:
    """Draws the volumes of a day.

    Args:
        nominal_rates: Units per second of a volume, by plan.
        counts: Number of volumes by plan.
        cell_count: Number of cells of the fleet.
        gateway_count: Number of gateways of the fleet.
        capacity: Units per second of the fleet; the volumes demand the fraction `load` of it.
        settings: The workload.
        seed: The seed of the day.
    """
    generator = numpy.random.default_rng([seed, VOLUME_STREAM])
    volumes = []
    for plan, count in counts.items():
        for number in range(count):
            cells = int(generator.integers(1, min(MAX_CELLS, cell_count) + 1))
            gateways = int(generator.integers(1, min(MAX_GATEWAYS, gateway_count) + 1))
            is_greedy = generator.random() < settings["greedy_part"]
            factor = settings["greedy_times"] if is_greedy else 1.0
            volumes.append(
                Volume(
                    f"{plan}{number}",
                    plan,
                    nominal_rates[plan] * factor,
                    tuple(int(cell) for cell in generator.choice(cell_count, cells, replace=False)),
                    tuple(
                        int(gateway) for gateway in generator.choice(gateway_count, gateways, replace=False)
                    ),
                )
            )
    total = sum(volume.rate for volume in volumes)
    return [volume._replace(rate=volume.rate * settings["load"] * capacity / total) for volume in volumes]


def relative_rate(settings: WorkloadSettings, at: numpy.ndarray) -> numpy.ndarray:
    """The rate at times (seconds) relative to its mean: a slow sine, shared by all volumes."""
    return 1 + settings["rush"] * numpy.sin(2 * numpy.pi * at / settings["rush_period"])


class _Steps(NamedTuple):
    """A volume's demand in each step of a day."""

    starts: numpy.ndarray
    """Seconds from the start of the day."""
    rates: numpy.ndarray
    """Units per second."""
    sizes: numpy.ndarray
    """Factors applied to the operations' sizes."""
    hot_fractions: numpy.ndarray
    """Fractions of the accesses that go to one key."""
    deadline_fractions: numpy.ndarray


def _volume_steps(
    volume: Volume, settings: WorkloadSettings, seconds: float, events: Iterable[FaultEvent]
) -> _Steps:
    starts = numpy.arange(0.0, seconds, STEP)
    rates, sizes = volume.rate * relative_rate(settings, starts), numpy.ones(len(starts))
    hot_fractions, deadline_fractions = numpy.zeros(len(starts)), numpy.ones(len(starts))
    for event in events:
        if volume.name not in event.targets:
            continue
        within = (starts >= event.at) & (starts < event.at + event.duration)
        if event.kind is FaultKind.LOAD_SURGE:
            rates = numpy.where(within, rates * event.size, rates)
        elif event.kind is FaultKind.LARGE_OPERATIONS:
            sizes = numpy.where(within, event.size, sizes)
        elif event.kind is FaultKind.HOT_KEY:
            hot_fractions = numpy.where(within, event.size, hot_fractions)
        elif event.kind is FaultKind.SHORT_DEADLINE:
            deadline_fractions = numpy.where(within, event.size, deadline_fractions)
    return _Steps(starts, rates, sizes, hot_fractions, deadline_fractions)


class _ArrivalSource:
    """Draws the arrivals of one volume."""

    def __init__(
        self,
        volume: Volume,
        settings: WorkloadSettings,
        generator: numpy.random.Generator,
        request_classes: RequestClasses,
        max_units: float,
    ):
        self.volume, self.settings, self.generator = volume, settings, generator
        self.request_classes, self.max_units = request_classes, max_units

    def batches(self, steps: _Steps) -> numpy.ndarray:
        """The number of batches in each step (a Poisson process); clients send operations in batches."""
        mean_batch_units = self.settings["mean_units"] * self.settings["batch"]
        return self.generator.poisson(steps.rates * STEP / mean_batch_units)

    def arrivals(self, steps: _Steps, batches: numpy.ndarray) -> Iterable[Arrival]:
        """The arrivals of all batches."""
        for step in numpy.nonzero(batches)[0]:
            for at in steps.starts[step] + self.generator.random(int(batches[step])) * STEP:
                yield from self._batch(steps, step, at)

    def _batch(self, steps: _Steps, step: int, at: float) -> Iterable[Arrival]:
        """One batch of geometric size, with one key and one gateway."""
        generator, volume = self.generator, self.volume
        count = int(stats.geom.ppf(generator.random(), 1 / self.settings["batch"]))
        is_write = generator.random() < self.settings["write_part"]
        rank = self._key_rank(steps.hot_fractions[step])
        cell = volume.cells[rank % len(volume.cells)]
        index = min(len(volume.gateways) - 1, int(generator.exponential(GATEWAY_SKEW)))
        for number in range(min(count, MAX_BATCH)):
            yield Arrival(
                float(at + number * BATCH_SPACING),
                volume.name,
                self.request_classes.write if is_write else self.request_classes.read,
                "" if is_write else f"{volume.name}/{rank}",
                self._units(steps.sizes[step]),
                NEW_OBJECT if is_write else cell,
                volume.gateways[index],
                float(steps.deadline_fractions[step]),
            )

    def _key_rank(self, hot_fraction: float) -> int:
        """The popularity rank of a batch's key, by Zipf's law."""
        if self.generator.random() < hot_fraction:
            return 1
        exponent = self.settings["zipf"]
        exponent = exponent + ZIPF_MARGIN if exponent > 1 else MIN_ZIPF
        return min(self.settings["keys"], int(self.generator.zipf(exponent)))

    def _units(self, factor: float) -> float:
        sigma = self.settings["size_sigma"]
        units = self.generator.lognormal(-(sigma**2) / 2, sigma) * self.settings["mean_units"]
        return float(min(self.max_units, max(1.0, round(units * factor, 1))))


def draw_arrivals(
    volumes: Sequence[Volume],
    settings: WorkloadSettings,
    *,
    seconds: float,
    seed: int,
    events: Iterable[FaultEvent],
    request_classes: RequestClasses,
    max_units: float,
) -> list[Arrival]:
    """Draws all arrivals of a day, ordered by time.

    Args:
        volumes: The volumes of the day.
        settings: The workload.
        seconds: Length of the day.
        seed: The seed of the day.
        events: Faults of the day; some kinds change the workload.
        request_classes: The request classes of reads and writes.
        max_units: Units of the largest operation.

    Raises:
        WorkloadError: The day would have more than `MAX_OPERATIONS` operations.
    """
    arrivals: list[Arrival] = []
    for index, volume in enumerate(volumes):
        generator = numpy.random.default_rng([seed, ARRIVAL_STREAM, index])
        source = _ArrivalSource(volume, settings, generator, request_classes, max_units)
        steps = _volume_steps(volume, settings, seconds, events)
        batches = source.batches(steps)
        if len(arrivals) + batches.sum() * settings["batch"] > MAX_OPERATIONS:
            raise WorkloadError(MAX_OPERATIONS)
        arrivals += source.arrivals(steps, batches)
    return sorted(arrivals, key=lambda arrival: arrival.at)
