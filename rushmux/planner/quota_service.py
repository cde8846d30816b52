"""Answers edges' requests for quotas, their shares of the folders' limits."""

from collections.abc import Callable, Iterable

from rushmux.fleet.quotas import GrantId, QuotaAllocator
from rushmux.nodewire import WireError, messages
from rushmux.planner.server import PeerConnection

MAX_WANTED_FOLDERS = 10_000  # in one request
MAX_WANTED_PART = 1e9  # as a multiple of a folder's limit


class QuotaService:
    """Grants quotas while this planner leads.

    Args:
        limited_folders: Names of the folders that have limits.
        gateway_count: The maximum number of edges.
        confirm_leadership: Calls a function once a majority has confirmed that this planner leads.
    """

    def __init__(
        self,
        limited_folders: Iterable[str],
        gateway_count: int,
        confirm_leadership: Callable[[Callable[[], None]], None],
    ):
        self._limited_folders = limited_folders
        self._gateway_count = gateway_count
        self._confirm_leadership = confirm_leadership
        self._unconfirmed: set[PeerConnection] = set()  # edges with a request waiting for a majority
        self._allocator: QuotaAllocator | None = None

    def begin_term(self, term: int, now: float) -> None:
        """Starts without any grants: those of an earlier leader are unknown."""
        self._allocator = QuotaAllocator(term, self._limited_folders, self._gateway_count, now)

    def forget_unconfirmed(self) -> None:
        """Drops requests that wait for a majority, when leadership begins or ends."""
        self._unconfirmed.clear()

    def on_request(self, peer: PeerConnection, request: messages.Ask, clock: Callable[[], float]) -> None:
        """Answers an edge's request once a majority has confirmed that this planner leads.

        A replaced leader would grant quotas that its successor grants too.  One request of each edge waits
        at a time; further ones are dropped, as edges send new ones anyway.

        Raises:
            WireError: The request is invalid.
        """
        # Checked before it waits: an error while answering would interrupt a step of the replicated log.
        _check(request)
        if peer in self._unconfirmed:
            return
        self._unconfirmed.add(peer)

        def answer() -> None:
            self._unconfirmed.discard(peer)
            self._answer(peer, request, clock())

        self._confirm_leadership(answer)

    def _answer(self, peer: PeerConnection, request: messages.Ask, now: float) -> None:
        grant = self._allocator.on_quota_request(
            now,
            peer.name,
            request.ask,
            {want.folder: want.part for want in request.wants},
            GrantId(request.term, request.number),
        )
        peer.send(
            grant=messages.Grant(
                term=grant.term,
                number=grant.sequence,
                ask=grant.request_id,
                parts=[messages.Want(folder=folder, part=quota) for folder, quota in grant.quotas.items()],
            )
        )


def _check(request: messages.Ask) -> None:
    """Raises WireError if a request is invalid; a NaN part is out of range too."""
    parts_are_valid = all(0 <= want.part < MAX_WANTED_PART for want in request.wants)
    if len(request.wants) > MAX_WANTED_FOLDERS or not parts_are_valid:
        raise WireError("invalid quota request: too many folders, or a part out of range")
