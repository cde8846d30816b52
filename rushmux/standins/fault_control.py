"""The base class of stand-ins that inject faults into themselves."""

from abc import ABC, abstractmethod

from rushmux.nodewire import messages
from rushmux.planner.server import PeerConnection, PeerServer


class FaultInjectingServer(PeerServer, ABC):
    """A server that starts a fault on a peer's request."""

    @abstractmethod
    def start_fault(self, kind: str, size: float = 0.0, seconds: float = 0.0) -> None:
        """Starts a fault.

        Args:
            kind: The name of the fault.
            size: Its strength; the meaning depends on the kind.
            seconds: Its duration; 0: unlimited.

        Raises:
            WireError: The kind is unknown.
        """

    def on_fault_request(self, peer: PeerConnection, request: messages.Trouble) -> None:
        """Starts and acknowledges a fault that a peer requested."""
        self.start_fault(request.kind, request.size, request.seconds)
        peer.send(obeyed=messages.Obeyed(kind=request.kind))
