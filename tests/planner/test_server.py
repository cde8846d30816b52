"""The base of servers: the greeting and its timeout, messages, and the end of a connection."""

import asyncio

import pytest

from rushmux import log
from rushmux.nodewire import VERSION, FrameReader, WireError, frame, messages
from rushmux.planner.server import HELLO_TIMEOUT, PeerServer
from rushmux.simulation.loop import run

HOST = "127.0.0.1"
HELLO = messages.Message(hello=messages.Hello(version=VERSION, peer="edge0", start="7"))
PROBE = messages.Message(probe=messages.Probe(corr=5))


class RecordingServer(PeerServer):
    """Records the calls of its hooks."""

    def __init__(self):
        super().__init__("server", "3", log.to_list([]))
        self.events = []

    def on_peer_connected(self, peer):
        self.events.append(("connected", peer.name))

    def on_peer_disconnected(self, peer):
        self.events.append(("disconnected", peer.name))

    def on_message(self, peer, kind, body):
        if kind != "probe":
            super().on_message(peer, kind, body)
        self.events.append((kind, body.corr))


def converse(*sent):
    """Returns the server, its messages, and after how many seconds it closed the connection (or None)."""

    async def main(loop):
        server = RecordingServer()
        port = await server.listen(HOST, 0)
        reader, writer = await asyncio.open_connection(HOST, port)
        started_at, received, frames = loop.time(), [], FrameReader()
        for message in sent:
            writer.write(frame(message))
        try:
            async with asyncio.timeout(2 * HELLO_TIMEOUT):
                while data := await reader.read(1 << 16):
                    received += frames.feed(data)
            closed_after = loop.time() - started_at
        except TimeoutError:
            closed_after = None
        await server.close_server()
        return server, received, closed_after

    return run(main, 1)


def test_a_peer_is_welcomed_and_its_messages_are_handled():
    server, (welcome,), closed_after = converse(HELLO, PROBE)
    assert (welcome.welcome.peer, welcome.welcome.start) == ("server", "3")
    assert closed_after is None
    assert server.events == [("connected", "edge0"), ("probe", 5), ("disconnected", "edge0")]


@pytest.mark.parametrize(
    "first",
    [PROBE, messages.Message(hello=messages.Hello(version=VERSION + 1, peer="edge0", start="7"))],
    ids=["no greeting", "another version"],
)
def test_a_connection_without_a_valid_greeting_is_closed(first):
    server, received, closed_after = converse(first)
    assert not received and closed_after < 1.0 and not server.events


def test_a_connection_without_a_greeting_is_closed_after_the_timeout():
    server, received, closed_after = converse()
    assert not received and closed_after == pytest.approx(HELLO_TIMEOUT, abs=0.1) and not server.events


def test_a_message_that_is_not_allowed_ends_its_connection():
    message = messages.Message(meter=messages.Meter())
    server, _, closed_after = converse(HELLO, message)
    assert closed_after < 1.0 and server.events[-1] == ("disconnected", "edge0")
    with pytest.raises(WireError, match="meter messages are not accepted here"):
        PeerServer.on_message(server, None, "meter", message.meter)
