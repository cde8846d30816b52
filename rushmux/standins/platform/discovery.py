"""Fake discovery: the endpoint list, its changes, and failures on request."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Callable, Iterable

SILENCE_CHECK_INTERVAL = 0.01
"""Seconds between two checks of `is_silent`."""
LONGEST_TURN = 2.0
"""Seconds that a call waits for its turn before it fails, where the service is shared."""
MS_PER_SECOND = 1000


def endpoint_row(name: str, port: int, cell: int = 0, state: str = "up", started_ms: int = 0) -> dict:
    """Returns the row of a node on loopback in discovery's list."""
    return {
        "id": name,
        "addr": f"127.0.0.1:{port}",
        "zone": "a",
        "kind": "m",
        "cell": cell,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
    }


class FakeDiscovery:
    """Discovery on loopback.

    Attributes:
        rows: The endpoint list, by node id.
        changes: All changes so far, each with its version.
        requests: Time and target of each request.
        is_silent: Whether requests get no response.
        malformed_body: Body sent instead of the list.
        indent: Indentation of the JSON.
        script: Returns the steps of a response, given the target and the body: bytes to send, seconds to
            wait, "close", "reset", or events to wait for.
        call_time: Seconds that each call takes of a service that takes one at a time; 0: no limit.
        changed: Set and replaced at each change.
    """

    def __init__(self):
        self.version = 1
        self.rows: dict[str, dict] = {}
        self.changes: list[tuple[int, dict]] = []
        self.requests: list[tuple[float, str]] = []
        self.is_silent = False
        self.malformed_body: bytes | None = None
        self.indent: int | None = None
        self.script: Callable[[str, bytes], Iterable] | None = None
        self.call_time = 0.0
        self._turn = asyncio.Lock()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.changed = asyncio.Event()

    async def open(self) -> None:
        """Listens on any free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def update(self, *rows: dict) -> None:
        """Changes rows of the list, as one new version."""
        self.version += 1
        for row in rows:
            self.rows[row["id"]] = row
            self.changes.append((self.version, row))
            if row["state"] == "removed":
                del self.rows[row["id"]]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split()[1].decode()
                self.requests.append((asyncio.get_running_loop().time(), target))
                while self.is_silent:
                    await asyncio.sleep(SILENCE_CHECK_INTERVAL)
                if self.call_time and not await self._take_turn():
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                body = await self._list_body(target)
                if self.script is None:
                    writer.write(self._encode_response(body))
                elif not await self._run_script(self.script(target, json.dumps(body).encode()), writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _take_turn(self) -> bool:
        # Returns whether the call was taken up in time; one that was given up takes its turn as well.
        try:
            async with asyncio.timeout(LONGEST_TURN):
                await self._turn.acquire()
        except TimeoutError:
            return False
        try:
            await asyncio.sleep(self.call_time)
        finally:
            self._turn.release()
        return True

    async def _run_script(self, steps: Iterable, writer: asyncio.StreamWriter) -> bool:
        # Returns whether the connection stays open.
        for step in steps:
            if step == "reset":
                no_linger = struct.pack("ii", 1, 0)
                writer.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, no_linger
                )
                writer.transport.abort()
                return False
            if step == "close":
                return False
            if isinstance(step, asyncio.Event):
                await step.wait()
            elif isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        return True

    async def _list_body(self, target: str) -> dict:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "after" not in query:
            return {"version": self.version, "full": True, "servers": list(self.rows.values())}
        after = int(query["after"])
        if after == self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query["wait_ms"]) / MS_PER_SECOND)
        rows = [row for version, row in self.changes if version > after]
        return {"version": self.version, "full": False, "servers": rows}

    def _encode_response(self, body: dict) -> bytes:
        text = self.malformed_body
        if text is None:
            text = json.dumps(body, indent=self.indent).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)

    def close(self) -> None:
        """Stops listening."""
        self.server.close()
