"""The edge's connection to the control plane: endpoint list, quota and policy messages.

It reconnects with backoff; meanwhile the last list stays in use.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from rushmux.edge.node_connections import MAX_BUFFERED, READ_SIZE, Address, next_backoff
from rushmux.nodewire import FrameReader, WireError, frame, messages

CONNECT_TIMEOUT = 2.0  # seconds
REQUEST_INTERVAL = 0.5  # seconds at most between two requests: a change reaches all within two of them
REQUEST_JITTER = 0.5  # of that, drawn: hundreds of edges must not ask at once


def next_request_pause(rng: random.Random) -> float:
    """Seconds until the next request for a lease of quotas or of the policy."""
    return REQUEST_INTERVAL * (1 - REQUEST_JITTER * rng.random())


class PlannerClient:
    """Connects to one planner at a time, and to the next where one does not serve.

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
        # One address, or those of several planners of which one takes edges.
        self.addresses = [addresses] if isinstance(addresses[0], str) else list(addresses)
        self.hello, self.rng, self.log, self.on_listing = hello, rng, log, on_listing
        self.on_quota_grant: Callable[[messages.Grant], None] = lambda grant: None
        self.on_policy_grant: Callable[[messages.PolicyGrant], None] = lambda grant: None
        self.address_index = 0  # of the next planner to connect to, counted round
        self.writer: asyncio.StreamWriter | None = None
        self._failures = 0  # connections in a row that ended without a listing, and the last one
        self._listed = False  # whether this connection brought a listing

    def send(self, **body) -> bool:
        """Sends one message, named by its field of `messages.Message`; False: there is no connection."""
        if self.writer is None or self.writer.transport.get_write_buffer_size() > MAX_BUFFERED:
            return False
        self.writer.write(frame(messages.Message(**body)))
        return True

    def try_next_planner(self) -> None:
        """Drops a connection that does not answer: its planner may be stopped, or cut off silently."""
        if self.writer is not None:
            self.address_index += 1
            self.writer.transport.abort()

    async def run(self) -> None:
        """Keeps connected until cancelled."""
        while True:
            reason = await self._follow()
            self._failures += 1
            if not self._listed:
                self.address_index += 1
            pause = next_backoff(self._failures, self.rng)
            self.log.info("endpoints.source_lost", reason=reason, retry_in=round(pause, 3))
            await asyncio.sleep(pause)

    async def _follow(self) -> str:
        """Opens one connection and follows it to its end; the reason of the end."""
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
