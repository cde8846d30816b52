"""The common part of stand-ins that inject faults into themselves."""

from abc import ABC, abstractmethod

from rushmux.nodewire import messages
from rushmux.planner.server import PeerConnection, PeerServer


class FaultInjectingServer(PeerServer, ABC):
    """A server that starts a fault when a peer asks for it."""

    @abstractmethod
    def start_fault(self, kind: str, size: float = 0.0, seconds: float = 0.0) -> None:
        """Starts a fault.

        Args:
            kind: Its name.
            size: How strong it is, as its kind means it.
            seconds: When it ends; 0: never.

        Raises:
            WireError: There is no fault of this kind.
        """

    def on_fault_request(self, peer: PeerConnection, request: messages.Trouble) -> None:
        """Starts the fault that a peer asked for, and acknowledges it."""
        self.start_fault(request.kind, request.size, request.seconds)
        peer.send(obeyed=messages.Obeyed(kind=request.kind))
