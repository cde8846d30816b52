"""The state that the planners' log makes: the fleet's policy, and clients' last results.

It is the same on every planner that has applied the same entries.
"""

import base64
import zlib

import orjson

from rushmux.fleet import raft
from rushmux.fleet.policy import PolicyStateMachine
from rushmux.planner.stored_commands import StoredCommand, origin_of


class ReplicatedState:
    """The state after some entry of the log.

    Attributes:
        policy: the fleet's policy.
        index: the index of the entry that was applied last.
    """

    def __init__(self, snapshot: raft.Snapshot):
        """Restores the state from a snapshot; ValueError where it is damaged."""
        raw = {"register": "", "sessions": []}
        if snapshot.state:
            raw = orjson.loads(zlib.decompress(base64.b64decode(snapshot.state)))
        self.policy = PolicyStateMachine.from_snapshot(raw["register"].encode())
        self.index = snapshot.index
        self._sessions = raft.ClientSessions([tuple(row) for row in raw["sessions"]])

    def serialized(self) -> bytes:
        """The state for a snapshot, small enough for one message whatever the policies hold."""
        raw = orjson.dumps(
            {"register": self.policy.to_snapshot().decode(), "sessions": self._sessions.to_rows()}
        )
        return base64.b64encode(zlib.compress(raw))

    def apply(self, command: StoredCommand) -> str:
        """Applies a committed command; its result in words.

        A command with an idempotency key is applied once, whatever number of entries hold it.
        """
        origin = origin_of(command)
        if origin is None:
            return self.policy.apply(command)
        return self._sessions.apply_once(origin.client, origin.sequence, lambda: self.policy.apply(command))
