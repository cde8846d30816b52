"""What stand-ins share besides what all servers do: they may be ordered to be in trouble."""

from rushmux.nodewire import messages
from rushmux.planner.server import PeerServer


class Obeying(PeerServer):
    """A server whose `begin(kind, size, seconds)` begins a trouble."""

    def obey(self, peer, order):
        """Begins a trouble that was ordered over the socket."""
        self.begin(order.kind, order.size, order.seconds)
        peer.send(obeyed=messages.Obeyed(kind=order.kind))
