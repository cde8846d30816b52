"""Drives running edges over sockets with an experiment's workload.

The load is an open loop: requests are sent at their times, and latencies count from then.  A new object of
the workload is a file to write, sized by the operation's units; a read gets a file written before in the
same folder.
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

MAX_IN_FLIGHT = 2_000  # requests; others are not sent but counted as `NOT_SENT`
BYTES_PER_UNIT = 32_768
MAX_KNOWN_FILES = 64  # newest files of a folder that reads choose from
SESSIONS_PER_EDGE = 4
INITIAL_FILES = 2  # written to each folder before the load starts
READ, WRITE = "read", "write"
LATENCY_OBJECTIVES = {
    WRITE: 1.4,
    READ: 0.8,
}  # seconds, for all operations of a request, from the request classes of the example deployment
NOT_SENT = "turned away by the load"  # outcome of a request beyond `MAX_IN_FLIGHT`

Address = tuple[str, int]
"""Host and port."""


class LoadTargetError(LabError):
    """An edge accepts no session, or a folder no file.

    Attributes:
        target: The edge or the file.
        reason: What went wrong.
    """

    def __init__(self, target: str, reason: str):
        super().__init__(f"{target} {reason}")
        self.target, self.reason = target, reason


class LoadResult(NamedTuple):
    """The result of driving edges."""

    lines: list[str]
    """A report as plain text."""
    all_answered: bool


def drive(
    experiment: Experiment, seed: int, seconds: float, edges: Sequence[Address], folders: Sequence[str]
) -> LoadResult:
    """Sends the first `seconds` of a day to running edges.

    Raises:
        LoadTargetError: An edge accepts no session, or a folder no file.
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
    """Opens sessions with an edge."""
    host, port = address
    try:
        return [await Client(_ignore_record).connect(host, port) for _ in range(SESSIONS_PER_EDGE)]
    except (OSError, ConnectionClosedError) as error:
        raise LoadTargetError(f"{host}:{port}", f"accepts no session: {error}") from error


def _ignore_record(*_values, **_fields) -> None:
    """Discards the records of clients, which only the checker needs."""


class _LoadDriver:
    """Sends requests at their times and counts the outcomes."""

    def __init__(self, pools: Sequence[Sequence[Client]], folders: Sequence[str], volumes: Sequence[str]):
        self.loop = asyncio.get_running_loop()
        self.pools, self.folders = pools, folders
        self.known_files: dict[str, deque[str]] = {
            folder: deque(maxlen=MAX_KNOWN_FILES) for folder in folders
        }
        self.folder_of_volume = {name: folders[number % len(folders)] for number, name in enumerate(volumes)}
        self.outcomes: Counter[str] = Counter()
        self.latencies = {kind: histograms.new_histogram() for kind in LATENCY_OBJECTIVES}
        self.in_time = 0

    async def write_initial_files(self) -> None:
        """Writes files for the first reads."""
        client = self.pools[0][0]
        for folder in self.folders:
            for number in range(INITIAL_FILES):
                path = f"/{folder}/load-{self.loop.time():.6f}-{number}"
                try:
                    await client.put(path, b"x" * BYTES_PER_UNIT)
                except (StatusError, ConnectionClosedError) as error:
                    raise LoadTargetError(path, f"cannot be written: {error}") from error
                self.known_files[folder].append(path)

    async def send_all(self, arrivals: Sequence[Arrival]) -> None:
        """Sends each request at its time, whether or not others are answered, and waits for all answers."""
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
        except StatusError as error:
            self.outcomes[error.status.message.split(":")[0] or sftp.FAILURE] += 1
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
        """Returns a plain text report of outcomes and latencies."""
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
