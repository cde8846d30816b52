"""The protocol between gateways, storage nodes and planners: messages and frames; no I/O."""

from rushmux.nodewire import messages_pb2 as messages
from rushmux.nodewire.frames import MAX_FRAME, VERSION, FrameReader, WireError, frame

__all__ = ["MAX_FRAME", "VERSION", "FrameReader", "WireError", "frame", "messages"]
