"""Frames of the protocol between gateways, storage nodes and planners; no I/O.

A frame is a four-byte big-endian length and one `Message` of messages.proto.  To regenerate messages_pb2.py:
`python -m grpc_tools.protoc -I. --python_out=. rushmux/nodewire/messages.proto`.
"""

import struct

from google.protobuf.message import DecodeError

from rushmux.nodewire.messages_pb2 import Message

VERSION = 1
MAX_FRAME = 1 << 20  # bytes; ample for an object of the maximum size and its envelope
LENGTH = struct.Struct(">I")


class WireError(Exception):
    """An invalid frame or an unexpected message; the connection must be closed."""


def frame(message: Message) -> bytes:
    """Encodes a message as a frame; raises WireError if it exceeds the maximum size."""
    body = message.SerializeToString()
    if len(body) > MAX_FRAME:
        raise WireError(f"message of {len(body)} bytes exceeds the maximum of {MAX_FRAME}")
    return LENGTH.pack(len(body)) + body


class FrameReader:
    """Decodes messages from a stream; buffers at most one frame and one read."""

    def __init__(self, max_size: int = MAX_FRAME):
        self.max_size, self.buffer = max_size, bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages that `data` completes; raises WireError if a length or message is invalid."""
        self.buffer += data
        found, position = [], 0
        while len(self.buffer) - position >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer, position)
            # Without this check, a peer that states a huge length would have it all buffered.
            if length > self.max_size:
                raise WireError(f"frame of {length} bytes exceeds the maximum of {self.max_size}")
            end = position + LENGTH.size + length
            if len(self.buffer) < end:
                break
            message = Message()
            try:
                message.ParseFromString(bytes(self.buffer[position + LENGTH.size : end]))
            except DecodeError as error:
                raise WireError(f"frame of {length} bytes is not a message: {error}") from error
            if message.WhichOneof("body") is None:
                raise WireError("message of an unknown kind")
            found.append(message)
            position = end
        del self.buffer[:position]
        return found
