"""Drives running edges over sockets with an experiment's workload: open loop, times from the intended start.

Each new object becomes a file that is written, each read one of those written before through the same
folder; sizes follow the operations' units.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Sequence
from typing import NamedTuple

from rushmux.lab import histograms
from rushmux.lab.client import ClientOutcome
from rushmux.lab.day import draw_day
from rushmux.lab.errors import LabError
from rushmux.lab.experiment_schema import Experiment
from rushmux.lab.measurements import PERCENTILES
from rushmux.lab.workload import Arrival
from rushmux.sftp import packets as sftp
from rushmux.standins.client import Client, ConnectionClosedError, StatusError

MAX_IN_FLIGHT = 2_000  # requests; more are not sent, and counted
BYTES_PER_UNIT = 32_768
KNOWN_FILES = 64  # files of a folder that reads choose from
SESSIONS_PER_EDGE = 4
INITIAL_FILES = 2  # written to each folder before the clock starts
READ, WRITE = "read", "write"
LATENCY_OBJECTIVES = {
    WRITE: 1.4,
    READ: 0.8,
}  # seconds, of the accesses that a request is made of, in the example
NOT_SENT = "turned away by the load"

Address = tuple[str, int]
"""Host and port."""


class LoadTargetError(LabError):
    """No edge takes a session, or no folder a file.

    Attributes:
        target: The edge or the file.
        reason: Why it does not.
    """

    def __init__(self, target: str, reason: str):
        super().__init__(f"{target} {reason}")
        self.target, self.reason = target, reason


class LoadResult(NamedTuple):
    """What driving edges came to."""

    lines: list[str]
    """Plain text."""
    all_answered: bool


def drive(
    experiment: Experiment, seed: int, seconds: float, edges: Sequence[Address], folders: Sequence[str]
) -> LoadResult:
    """Sends the first `seconds` of a day to running edges.

    Raises:
        NotServedError: An edge takes no session, or a folder no file.
    """
    without_faults = {**experiment, "seconds": seconds, "troubles": []}
    arrivals = draw_day(without_faults, experiment["variants"][0], seed).arrivals
    return asyncio.run(_drive(arrivals, seconds, edges, folders))


async def _drive(
    arrivals: Sequence[Arrival], seconds: float, edges: Sequence[Address], folders: Sequence[str]
) -> LoadResult:
    pools = [await _connect(address) for address in edges]
    driver = _LoadDriver(pools, folders, sorted({arrival.volume for arrival in arrivals}))
    await driver.write_initial_files()
    await driver.send_all(arrivals)
    for pool in pools:
        for client in pool:
            await client.close()
    return LoadResult(driver.summarize(len(arrivals), seconds), driver.outcomes[ClientOutcome.LOST] == 0)


async def _connect(address: Address) -> list[Client]:
    """Sessions with an edge."""
    host, port = address
    try:
        return [await Client(_ignore_record).connect(host, port) for _ in range(SESSIONS_PER_EDGE)]
    except (OSError, ConnectionClosedError) as error:
        raise LoadTargetError(f"{host}:{port}", f"takes no session: {error}") from error


def _ignore_record(*_values, **_fields) -> None:
    """Clients record what they do for the checker, which does not look at this."""


class _LoadDriver:
    """Sends requests at their times and counts how they end."""

    def __init__(self, pools: Sequence[Sequence[Client]], folders: Sequence[str], volumes: Sequence[str]):
        self.loop = asyncio.get_running_loop()
        self.pools, self.folders = pools, folders
        self.known_files: dict[str, deque[str]] = {folder: deque(maxlen=KNOWN_FILES) for folder in folders}
        self.folder_of_volume = {name: folders[place % len(folders)] for place, name in enumerate(volumes)}
        self.outcomes: Counter[str] = Counter()
        self.latencies = {kind: histograms.new_histogram() for kind in LATENCY_OBJECTIVES}
        self.in_time = 0

    async def write_initial_files(self) -> None:
        """Writes what the first reads read."""
        client = self.pools[0][0]
        for folder in self.folders:
            for number in range(INITIAL_FILES):
                path = f"/{folder}/load-{self.loop.time():.6f}-{number}"
                try:
                    await client.put(path, b"x" * BYTES_PER_UNIT)
                except (StatusError, ConnectionClosedError) as error:
                    raise LoadTargetError(path, f"cannot be filed: {error}") from error
                self.known_files[folder].append(path)

    async def send_all(self, arrivals: Sequence[Arrival]) -> None:
        """Sends each request at its time, whatever became of the others, and waits for all answers."""
        start, tasks = self.loop.time(), {}
        for number, arrival in enumerate(arrivals):
            due = start + arrival.at
            if due > self.loop.time():
                await asyncio.sleep(due - self.loop.time())
            if len(tasks) >= MAX_IN_FLIGHT:
                self.outcomes[NOT_SENT] += 1
                continue
            task = self.loop.create_task(self._send(number, arrival, due))
            tasks[task] = True
            task.add_done_callback(tasks.pop)
        await asyncio.gather(*tasks)

    async def _send(self, number: int, arrival: Arrival, due: float) -> None:
        kind = WRITE if arrival.is_write else READ
        try:
            await self._request(number, arrival, due)
        except StatusError as refusal:
            self.outcomes[refusal.status.message.split(":")[0] or sftp.FAILURE] += 1
        except (ConnectionClosedError, OSError):
            self.outcomes[ClientOutcome.LOST] += 1
        else:
            latency = self.loop.time() - due
            self.outcomes[ClientOutcome.SUCCEEDED] += 1
            self.in_time += latency <= LATENCY_OBJECTIVES[kind]
            histograms.record_seconds(self.latencies[kind], latency)

    async def _request(self, number: int, arrival: Arrival, due: float) -> None:
        pool = self.pools[arrival.gateway % len(self.pools)]
        client, folder = pool[number % len(pool)], self.folder_of_volume[arrival.volume]
        known_files = self.known_files[folder]
        if arrival.is_write:
            path = f"/{folder}/load-{due:.6f}-{number}"
            await client.put(path, b"x" * int(arrival.units * BYTES_PER_UNIT))
            known_files.append(path)
        else:
            await client.get(known_files[number % len(known_files)])

    def summarize(self, request_count: int, seconds: float) -> list[str]:
        """Plain text of how the requests ended, and of their latencies."""
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        in_time = self.in_time / max(1, request_count)
        lines = [
            f"{request_count} requests in {seconds:g} s through {len(self.pools)} edge(s): "
            f"{outcomes}; in time {in_time:.3f}"
        ]
        for kind, histogram in self.latencies.items():
            if histogram.get_total_count():
                parts = ", ".join(
                    f"{part}%: {histograms.percentile_ms(histogram, part):.1f} ms" for part in PERCENTILES
                )
                lines.append(f"  {kind:6} {parts}")
        return lines
