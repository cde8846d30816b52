"""Frames of the protocol between gateways, storage nodes and the list of nodes; no I/O.

A frame is four bytes of length, big-endian, and one `Message` of messages.proto.  To make
messages_pb2.py anew: `python -m grpc_tools.protoc -I. --python_out=. rushmux/nodewire/messages.proto`.
"""

import struct

from google.protobuf.message import DecodeError

from rushmux.nodewire.messages_pb2 import Message

VERSION = 1
MOST = 1 << 20  # bytes in a frame: an object of the largest size and its envelope, with room
LENGTH = struct.Struct(">I")


class WireFault(Exception):
    """Bytes that are no frame, or a message that is out of place; the connection is of no more use."""


def frame(message: Message) -> bytes:
    """The bytes of one message; WireFault where it is longer than a frame may be."""
    body = message.SerializeToString()
    if len(body) > MOST:
        raise WireFault(f"a message of {len(body)} bytes; a frame holds {MOST}")
    return LENGTH.pack(len(body)) + body


class Frames:
    """Takes bytes as they come and gives whole messages.  Holds one frame and one read at the most."""

    def __init__(self, most: int = MOST):
        self.most, self.held = most, bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that `data` completes; WireFault for a length or a message that cannot be."""
        self.held += data
        found, at = [], 0
        while len(self.held) - at >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.held, at)
            # Danger: a peer that states a huge length makes this side wait for it, and buffer it.
            if length > self.most:
                raise WireFault(f"a frame of {length} bytes; {self.most} is the most")
            end = at + LENGTH.size + length
            if len(self.held) < end:
                break
            message = Message()
            try:
                message.ParseFromString(bytes(self.held[at + LENGTH.size : end]))
            except DecodeError as fault:
                raise WireFault(f"a frame of {length} bytes is no message: {fault}") from fault
            if message.WhichOneof("body") is None:
                raise WireFault("a message of no kind known here")
            found.append(message)
            at = end
        del self.held[:at]
        return found
