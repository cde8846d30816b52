"""Client sessions: a command that is proposed again is not applied again (Ongaro, section 6.3)."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

MAX_CLIENT_SESSIONS = 16_384  # the session that was silent for longest is forgotten first


class ClientResponse(NamedTuple):
    """The last command of a client that was applied, and its answer."""

    sequence: int
    answer: str


class ClientSessions:
    """The last answer given to each client.

    Part of the state that the log makes: the same on every member, and kept in snapshots as `to_rows`.
    """

    def __init__(self, rows: Iterable[tuple[str, int, str]] = ()):
        self.responses = OrderedDict(
            (client, ClientResponse(sequence, answer)) for client, sequence, answer in rows
        )

    def apply_once(self, client: str, sequence: int, apply: Callable[[], str]) -> str:
        """The answer to a client's command; `apply` is called the first time only."""
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
        """Client, sequence and answer of each session, the longest silent first."""
        return [(client, response.sequence, response.answer) for client, response in self.responses.items()]
