"""The protocol between gateways, storage nodes and the list of nodes: messages and frames, no I/O."""

from rushmux.nodewire import messages_pb2 as messages
from rushmux.nodewire.frames import MOST, VERSION, Frames, WireFault, frame

__all__ = ["MOST", "VERSION", "Frames", "WireFault", "frame", "messages"]
