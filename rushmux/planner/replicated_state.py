"""The state that the replicated log produces: the fleet's policy, and clients' last results.

Planners that have applied the same entries have the same state.
"""

import base64
import zlib

import orjson

from rushmux.fleet import raft
from rushmux.fleet.policy import PolicyStateMachine
from rushmux.planner.stored_commands import StoredCommand, origin_of


class ReplicatedState:
    """The state after an entry of the log.

    Attributes:
        policy: The fleet's policy.
        index: The index of the last applied entry.
    """

    def __init__(self, snapshot: raft.Snapshot):
        """Restores the state from a snapshot; raises ValueError if it is damaged."""
        raw = {"register": "", "sessions": []}
        if snapshot.state:
            raw = orjson.loads(zlib.decompress(base64.b64decode(snapshot.state)))
        self.policy = PolicyStateMachine.from_snapshot(raw["register"].encode())
        self.index = snapshot.index
        self._sessions = raft.ClientSessions([tuple(row) for row in raw["sessions"]])

    def serialized(self) -> bytes:
        """Returns the state for a snapshot, compressed to fit in one message even with large policies."""
        raw = orjson.dumps(
            {"register": self.policy.to_snapshot().decode(), "sessions": self._sessions.to_rows()}
        )
        return base64.b64encode(zlib.compress(raw))

    def apply(self, command: StoredCommand) -> str:
        """Applies a committed command and returns its result as a text for operators.

        A command with an idempotency key is applied once, however many entries contain it.
        """
        origin = origin_of(command)
        if origin is None:
            return self.policy.apply(command)
        return self._sessions.apply_once(origin.client, origin.sequence, lambda: self.policy.apply(command))
