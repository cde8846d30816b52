"""The edge's connection to the planners, for endpoint lists, quotas and policies.

It reconnects with backoff; meanwhile the last endpoint list stays in use.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from rushmux.edge.node_connections import MAX_BUFFERED, READ_SIZE, Address, next_backoff
from rushmux.nodewire import FrameReader, WireError, frame, messages

CONNECT_TIMEOUT = 2.0  # seconds
REQUEST_INTERVAL = 0.5  # seconds at most; a change reaches all edges within two intervals
REQUEST_JITTER = 0.5  # random fraction of the interval, so that hundreds of edges do not ask at once


def next_request_pause(rng: random.Random) -> float:
    """Returns the seconds until the next request for a quota or policy lease."""
    return REQUEST_INTERVAL * (1 - REQUEST_JITTER * rng.random())


class PlannerClient:
    """Connects to one planner at a time, and to the next if it does not serve.

    Attributes:
        on_listing: Called with each listing, in order.
        on_quota_grant: Called with each grant of quota shares.
        on_policy_grant: Called with each grant of a policy lease.
    """

    def __init__(
        self,
        addresses: Address | Sequence[Address],
        hello: messages.Hello,
        rng: random.Random,
        log,
        on_listing: Callable[[messages.Listing], None],
    ):
        # One address, or those of several planners, of which only one serves edges.
        self.addresses = [addresses] if isinstance(addresses[0], str) else list(addresses)
        self.hello, self.rng, self.log, self.on_listing = hello, rng, log, on_listing
        self.on_quota_grant: Callable[[messages.Grant], None] = lambda grant: None
        self.on_policy_grant: Callable[[messages.PolicyGrant], None] = lambda grant: None
        self.address_index = 0  # of the next planner, modulo the number of addresses
        self.writer: asyncio.StreamWriter | None = None
        self._failures = 0  # connections that ended since the last listing
        self._listed = False  # whether a listing came over this connection

    def send(self, **body) -> bool:
        """Sends a message, given as a field of `messages.Message`; returns False if it cannot be sent now."""
        if self.writer is None or self.writer.transport.get_write_buffer_size() > MAX_BUFFERED:
            return False
        self.writer.write(frame(messages.Message(**body)))
        return True

    def try_next_planner(self) -> None:
        """Drops a silent connection; its planner may be stopped or unreachable."""
        if self.writer is not None:
            self.address_index += 1
            self.writer.transport.abort()

    async def run(self) -> None:
        """Stays connected until cancelled."""
        while True:
            reason = await self._run_connection()
            self._failures += 1
            if not self._listed:
                self.address_index += 1
            pause = next_backoff(self._failures, self.rng)
            self.log.info("endpoints.source_lost", reason=reason, retry_in=round(pause, 3))
            await asyncio.sleep(pause)

    async def _run_connection(self) -> str:
        """Connects, handles messages until the connection ends, and returns the reason of the end."""
        self._listed = False
        address, writer = self.addresses[self.address_index % len(self.addresses)], None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*address)
            writer.write(frame(messages.Message(hello=self.hello)))
            self.writer, frames = writer, FrameReader()
            while data := await reader.read(READ_SIZE):
                for message in frames.feed(data):
                    self._on_message(message)
        except (OSError, WireError, TimeoutError) as error:
            return str(error) or "no answer"
        finally:
            self.writer = None
            if writer is not None:
                writer.close()
        return "closed"

    def _on_message(self, message: messages.Message) -> None:
        match message.WhichOneof("body"):
            case "listing":
                self._failures, self._listed = 0, True
                self.on_listing(message.listing)
            case "grant":
                self.on_quota_grant(message.grant)
            case "policy_grant":
                self.on_policy_grant(message.policy_grant)
