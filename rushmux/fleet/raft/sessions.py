"""Client sessions, which keep a retried command from being applied twice (Ongaro, section 6.3)."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

MAX_CLIENT_SESSIONS = 16_384  # the least recently used session is evicted first


class ClientResponse(NamedTuple):
    """Sequence number and answer of a client's last applied command."""

    sequence: int
    answer: str


class ClientSessions:
    """The last answer to each client.

    Part of the replicated state: equal on all members, and stored in snapshots as `to_rows` returns it.
    """

    def __init__(self, rows: Iterable[tuple[str, int, str]] = ()):
        self.responses = OrderedDict(
            (client, ClientResponse(sequence, answer)) for client, sequence, answer in rows
        )

    def apply_once(self, client: str, sequence: int, apply: Callable[[], str]) -> str:
        """Returns the answer to a client's command, calling `apply` only the first time."""
        last = self.responses.get(client, ClientResponse(0, ""))
        if sequence < last.sequence:
            return f"refused: order {sequence} is older than {last.sequence}, which was answered"
        answer = apply() if sequence > last.sequence else last.answer
        self.responses[client] = ClientResponse(sequence, answer)
        self.responses.move_to_end(client)
        if len(self.responses) > MAX_CLIENT_SESSIONS:
            self.responses.popitem(last=False)
        return answer

    def to_rows(self) -> list[tuple[str, int, str]]:
        """Returns client, sequence and answer of each session, least recently used first."""
        return [(client, response.sequence, response.answer) for client, response in self.responses.items()]
