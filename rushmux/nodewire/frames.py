"""Frames of the protocol between gateways, storage nodes and the list of nodes; no I/O.

A frame is four bytes of length, big-endian, and one `Message` of messages.proto.  To make
messages_pb2.py anew: `python -m grpc_tools.protoc -I. --python_out=. rushmux/nodewire/messages.proto`.
"""

import struct

from google.protobuf.message import DecodeError

from rushmux.nodewire.messages_pb2 import Message

VERSION = 1
MAX_FRAME = 1 << 20  # bytes in a frame: an object of the largest size and its envelope, with room
LENGTH = struct.Struct(">I")


class WireError(Exception):
    """Bytes that are no frame, or a message that is out of place; the connection is of no more use."""


def frame(message: Message) -> bytes:
    """The bytes of one message; WireError where it is longer than a frame may be."""
    body = message.SerializeToString()
    if len(body) > MAX_FRAME:
        raise WireError(f"a message of {len(body)} bytes; a frame holds {MAX_FRAME}")
    return LENGTH.pack(len(body)) + body


class FrameReader:
    """Takes bytes as they come and gives whole messages.  Holds one frame and one read at the most."""

    def __init__(self, max_size: int = MAX_FRAME):
        self.max_size, self.buffer = max_size, bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that `data` completes; WireError for a length or a message that cannot be."""
        self.buffer += data
        found, at = [], 0
        while len(self.buffer) - at >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer, at)
            # A peer that states a huge length would make this side wait for it, and buffer it.
            if length > self.max_size:
                raise WireError(f"a frame of {length} bytes; {self.max_size} is the most")
            end = at + LENGTH.size + length
            if len(self.buffer) < end:
                break
            message = Message()
            try:
                message.ParseFromString(bytes(self.buffer[at + LENGTH.size : end]))
            except DecodeError as fault:
                raise WireError(f"a frame of {length} bytes is no message: {fault}") from fault
            if message.WhichOneof("body") is None:
                raise WireError("a message of no kind known here")
            found.append(message)
            at = end
        del self.buffer[:at]
        return found
