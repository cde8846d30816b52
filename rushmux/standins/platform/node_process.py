"""A storage node in a process of its own, which serves every command at once."""

from __future__ import annotations

import asyncio
import subprocess
import sys

from rushmux.standins.platform.node import FakeNode


class NodeProcess:
    """Runs `FakeNode` in a process, so that a stall of the test's process does not delay its replies.

    Attributes:
        port: Port on which it listens, once started.
    """

    def __init__(self):
        self.port = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process and waits until it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", __name__, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.port = int(await self._process.stdout.readline())

    async def end(self) -> None:
        """Kills the process."""
        self._process.kill()
        await self._process.wait()


async def _serve() -> None:
    node = FakeNode()
    await node.open()
    print(node.port, flush=True)
    # The end of standard input says that the parent process has ended.
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    node.close()


if __name__ == "__main__":
    asyncio.run(_serve())
