"""Connections to the other planners, over which this planner sends its Raft messages.

Each planner dials all others.  It sends on the connections that it dialled and receives on those that the
others dialled.  A message that cannot be sent is dropped, since Raft repeats it.
"""

import asyncio
import contextlib
from collections.abc import Mapping
from functools import partial

from rushmux.fleet import raft
from rushmux.nodewire import VERSION, FrameReader, WireError, frame, messages
from rushmux.planner import peer_names, raft_codec
from rushmux.planner.deduplicated_warnings import DeduplicatedWarnings
from rushmux.supervision import Supervisor

CONNECT_TIMEOUT = 1.0  # seconds; a planner behind a network partition does not answer at all
RECONNECT_PAUSE = 0.3  # seconds until a planner is dialled again
MAX_BUFFERED = 2 << 20  # bytes waiting for a planner that does not read; further messages are dropped
READ_SIZE = 1 << 16  # bytes per read from a socket


def planner_of(member_id: str) -> str:
    """Returns the planner's name in a member id, which has the form `name/incarnation`."""
    return member_id.split("/")[0]


class RaftTransport:
    """Sends Raft messages to the other planners.

    Args:
        member_id: This planner's member id.
        addresses: Host and port of each other planner by name.
        warnings: The logger of recurring failures.
        supervisor: Runs the connections' tasks, and ends them with the program.
    """

    def __init__(
        self,
        member_id: str,
        addresses: Mapping[str, tuple[str, int]],
        warnings: DeduplicatedWarnings,
        supervisor: Supervisor,
    ):
        self._member_id = member_id
        self._addresses = addresses
        self._warnings = warnings
        self._writers: dict[str, asyncio.StreamWriter] = {}
        self._supervisor = supervisor

    def start(self) -> None:
        """Starts connecting to the other planners."""
        for name in self._addresses:
            self._supervisor.run_restarting(f"raft_connection_{name}", partial(self._stay_connected, name))

    def send(self, message: raft.Message) -> None:
        """Sends a message to its receiver, or drops it if that planner cannot be reached."""
        writer = self._writers.get(planner_of(message.receiver))
        if writer is None or writer.transport.get_write_buffer_size() > MAX_BUFFERED:
            return
        try:
            writer.write(frame(messages.Message(word=raft_codec.encode(message))))
        except WireError as error:
            self._warnings.warn("raft.message_not_sent", str(error))

    async def _stay_connected(self, name: str) -> None:
        while True:
            # Not logged: a planner that is down is no fault while the others have a majority.
            with contextlib.suppress(OSError, WireError, TimeoutError):
                await self._connect(name)
            await asyncio.sleep(RECONNECT_PAUSE)

    async def _connect(self, name: str) -> None:
        """Connects to a planner, and returns when the connection ends."""
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*self._addresses[name])
            hello = messages.Hello(
                version=VERSION, peer=f"{peer_names.PLANNER_PREFIX}{self._member_id}", start="0"
            )
            writer.write(frame(messages.Message(hello=hello)))
            self._writers[name] = writer
            frames = FrameReader()
            while data := await reader.read(READ_SIZE):
                frames.feed(data)  # at most a greeting; replies come on the other planner's connection
        finally:
            self._writers.pop(name, None)
            if writer is not None:
                writer.close()
