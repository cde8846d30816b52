"""One connection to discovery, which requests again after each response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11
import orjson

from rushmux.gateway.endpoints import MALFORMED_JSON_ERRORS, SocketAddress, parse_listing

if TYPE_CHECKING:
    from rushmux.gateway.discovery import DiscoveryWatch

PATH = "/catalog/members"
MAX_RESPONSE_BYTES = 8 << 20
MS_PER_SECOND = 1000
STATUS_OK = 200
REJECTED_STATUSES = range(400, 500)
"""Discovery rejects the request, as it does not know the version."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection to discovery.

    Attributes:
        requested_at: Loop time of the last request.
        has_response_begun: Whether a part of its response has arrived.
        has_peer_ended: Whether discovery has closed its sending side.
        timer: Closes the connection when the response takes too long.
    """

    def __init__(self, watch: DiscoveryWatch, address: SocketAddress):
        self.watch = watch
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.http = h11.Connection(h11.CLIENT)
        self.body = bytearray()
        self.requested_at = 0.0
        self.has_response_begun = False
        self.has_peer_ended = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the first request (`asyncio.Protocol`)."""
        self.transport = transport
        self._send_request()

    def _send_request(self) -> None:
        version, loop, timing = self.watch.version, self.watch.loop, self.watch.timing
        host, port = self.address
        target = PATH
        if version is not None:
            target = f"{PATH}?after={version}&wait_ms={int(timing.watch * MS_PER_SECOND)}"
        request = h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}")])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))
        self.requested_at = loop.time()
        self.has_response_begun = False
        self.timer = loop.call_later(timing.first_byte, self.close, "no response in time")

    def data_received(self, data: bytes) -> None:
        """Reads a part of a response (`asyncio.Protocol`)."""
        if not self.has_response_begun:
            self.has_response_begun = True
            self.timer.cancel()
            due = self.requested_at + self.watch.timing.response
            self.timer = self.watch.loop.call_at(due, self.close, "response incomplete in time")
        self._receive(data)

    def eof_received(self) -> None:
        """Notes that discovery has closed its sending side (`asyncio.Protocol`).

        This completes a response without length or chunks; a reset does not.
        """
        self.has_peer_ended = True
        self._receive(b"")

    def _receive(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if not self._handle_event(event):
                    return
        except h11.RemoteProtocolError as error:
            self.close(str(error))

    def _handle_event(self, event: h11.Event) -> bool:
        # Returns whether the connection stays open.
        if isinstance(event, h11.Response) and event.status_code != STATUS_OK:
            # An unknown version would be requested over and over.
            if event.status_code in REJECTED_STATUSES and self.watch.connection is self:
                self.watch.version = None
            self.close(f"status {event.status_code}")
            return False
        if isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MAX_RESPONSE_BYTES:
                self.close("response too long")
                return False
        elif isinstance(event, h11.EndOfMessage):
            return self._on_response()
        elif isinstance(event, h11.ConnectionClosed):
            self.close("closed")
            return False
        return True

    def _on_response(self) -> bool:
        # Returns whether the connection stays open.
        body, self.body = bytes(self.body), bytearray()
        self.timer.cancel()
        try:
            listing = parse_listing(orjson.loads(body))
        except MALFORMED_JSON_ERRORS as error:
            self.close(f"malformed response: {error}")
            return False
        self.watch.on_listing(self, listing)
        if (
            self.watch.connection is self
            and not self.has_peer_ended
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
        ):
            self.http.start_next_cycle()
            self._send_request()
            return True
        self.close("closed", is_orderly=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends after the connection was lost (`asyncio.Protocol`)."""
        self.close("closed")

    def close(self, reason: str, is_orderly: bool = False) -> None:
        """Closes the connection; `is_orderly`: after a complete response."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.watch.on_connection_closed(self, reason, is_orderly)
