"""Measures how long a process was ready to run and had no processor (Linux, `/proc/PID/schedstat`)."""

import asyncio
from bisect import bisect_left
from pathlib import Path

INTERVAL = 0.005
"""Seconds between two measurements."""
NS_PER_SECOND = 1_000_000_000


class SchedulingDelayWatch:
    """Measures a process until `run` is cancelled.

    Without the file, which needs a kernel with statistics of the scheduler, the delay is 0.
    """

    def __init__(self, pid: int):
        self._file = Path(f"/proc/{pid}/schedstat")
        self._times: list[float] = []
        self._delays: list[float] = []

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._times.append(loop.time())
            self._delays.append(self._read())
            await asyncio.sleep(INTERVAL)

    def _read(self) -> float:
        try:
            return int(self._file.read_text().split()[1]) / NS_PER_SECOND
        except (OSError, IndexError, ValueError):
            return 0.0

    def between(self, begin: float, end: float) -> float:
        """Returns the seconds of delay between two event loop times, rounded up to whole intervals."""
        if not self._times:
            return 0.0
        first = max(0, bisect_left(self._times, begin) - 1)
        last = min(len(self._times) - 1, bisect_left(self._times, end))
        return self._delays[last] - self._delays[first]
