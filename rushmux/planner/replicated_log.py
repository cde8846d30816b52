"""Drives this planner's Raft node: persists, sends and applies what the node hands out.

`fleet.raft` decides what is committed, and `fleet.policy` what committed commands do.  A planner whose disk
fails neither votes nor answers until the disk works again.  One whose disk was lost comes back as a new
member (`member_replacement`).
"""

import asyncio
from collections.abc import Callable

import orjson
import structlog

from rushmux.fleet import raft
from rushmux.fleet.policy import PolicyStateMachine, RolloutCoordinator
from rushmux.nodewire import messages
from rushmux.planner import raft_codec
from rushmux.planner.deduplicated_warnings import DeduplicatedWarnings
from rushmux.planner.errors import (
    NotLeaderError,
    ProposalRejectedError,
    ProposalUndecidedError,
    RaftStorageError,
)
from rushmux.planner.member_replacement import MemberReplacement
from rushmux.planner.policy_leader import PolicyLeader
from rushmux.planner.proposals import MAX_PROPOSALS, PROPOSAL_TIMEOUT, PendingProposals
from rushmux.planner.raft_transport import RaftTransport
from rushmux.planner.replicated_state import ReplicatedState
from rushmux.planner.replication_settings import ReplicationSettings, open_storage
from rushmux.planner.server import PeerConnection
from rushmux.planner.stored_commands import StoredCommand
from rushmux.supervision import Supervisor

TICK_INTERVAL = 0.1  # seconds between ticks of the Raft node
COMPACTION_THRESHOLD = 200  # entries above which the log is compacted
MAX_ENTRY_BYTES = 512 << 10  # of one command, to fit in a frame with its envelope
UNREADABLE_COMMAND_ERRORS = (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError)
"""Raised by a command whose fields do not match its kind."""
STORAGE_RETRY_INTERVAL = 1.0  # seconds until a failed disk is tried again


class ReplicatedLog:
    """One planner's part in the log that all planners share.

    Args:
        settings: The planners, and where the log is stored.
        log: The logger.
        on_leadership: Called with True when this planner's leadership begins, and with False when it ends.
        bootstrap_command: Returns the command that creates the fleet's first policy, or None.
        record: Called with committed commands and changes of leadership, for checkers of recorded histories.
        supervisor: Runs its tasks.

    Attributes:
        storage: The log on disk.
        node: The Raft node.
        storage_failed_at: When the disk last failed or was retried, in seconds of the event loop's clock;
            None: it works.

    Raises:
        RaftStorageError: The stored log cannot be used.
    """

    def __init__(
        self,
        settings: ReplicationSettings,
        log: structlog.typing.FilteringBoundLogger,
        *,
        on_leadership: Callable[[bool], None],
        bootstrap_command: Callable[[], StoredCommand | None],
        record: Callable,
        supervisor: Supervisor,
    ):
        self._settings = settings
        self._log = log
        self._on_leadership = on_leadership
        self._bootstrap_command = bootstrap_command
        self._record = record
        self._supervisor = supervisor
        self._loop = asyncio.get_running_loop()
        self._warnings = DeduplicatedWarnings(log)
        self.storage = open_storage(settings)
        self.member_id = f"{settings.name}/{self.storage.incarnation}"
        self.storage_failed_at: float | None = None
        others = {name: address for name, address in settings.addresses.items() if name != settings.name}
        self._transport = RaftTransport(self.member_id, others, self._warnings, supervisor)
        self._replacement = MemberReplacement(settings.addresses, log, self._warnings)
        self._proposals = PendingProposals()
        self._leading_term = 0  # 0 while not leading
        self._policy_leader: PolicyLeader | None = None
        self._start_node()

    def _start_node(self) -> None:
        """Creates the Raft node from the log on disk."""
        persistent = self.storage.persistent
        self.node = raft.RaftNode(
            self.member_id, persistent, self._loop.time(), self._settings.random.randrange
        )
        self._state = ReplicatedState(persistent.snapshot)

    def start(self) -> None:
        """Starts ticking, and connecting to the other planners."""
        self._transport.start()
        # A step that fails may leave the node's memory different from its disk, so the program must restart.
        self._supervisor.run_essential("raft_ticks", self._run_ticks)

    def close(self) -> None:
        """Fails pending proposals and releases the log file."""
        self._proposals.fail_all("this planner ends")
        self.storage.release()

    # State.

    @property
    def is_leader(self) -> bool:
        """Whether this planner leads, and a majority has confirmed that since its election."""
        return self.storage_failed_at is None and self.node.confirmed_round > 0

    @property
    def leader(self) -> str | None:
        """The leader's member id, if known."""
        return self.node.leader

    @property
    def term(self) -> int:
        """The Raft node's term."""
        return self.node.term

    @property
    def members(self) -> tuple[str, ...]:
        """The member ids of the log's configuration."""
        return self.node.members

    @property
    def applied_index(self) -> int:
        """The index of the last applied entry."""
        return self._state.index

    @property
    def policy(self) -> PolicyStateMachine:
        """The fleet's policy after the last applied entry."""
        return self._state.policy

    @property
    def coordinator(self) -> RolloutCoordinator | None:
        """The coordinator of rollouts; None while this planner does not lead."""
        return self._policy_leader.coordinator if self._policy_leader is not None else None

    def time(self) -> float:
        """Returns the time of the clock for leases, in seconds."""
        return self._loop.time()

    # Steps of the Raft node.

    async def _run_ticks(self) -> None:
        while True:
            if self.storage_failed_at is not None:
                self._recover_storage()
            else:
                self.node.tick(self._loop.time())
                self._process_ready()
                self._replace_members()
            await asyncio.sleep(TICK_INTERVAL)

    def _process_ready(self) -> None:
        """Persists, sends and applies what the Raft node hands out."""
        while self.storage_failed_at is None and (ready := self.node.ready()) is not None:
            if not self._persist(ready):
                break
            for message in ready.messages:
                self._transport.send(message)
            if ready.restore is not None:
                self._state = ReplicatedState(ready.restore)
            for index, entry in ready.committed:
                self._apply(index, entry)
            self.node.on_persisted(self._loop.time(), ready)
            self._compact()
        self._update_leadership()

    def _persist(self, ready: raft.Ready) -> bool:
        """Writes to disk, and returns whether that succeeded; before that, nothing of `ready` may be sent."""
        try:
            self.storage.write(ready)
        except OSError as error:
            self._log.error("raft.storage_failed", why=str(error))
            self.storage_failed_at = self._loop.time()
            self._proposals.fail_all("its disk takes nothing")
            return False
        return True

    def _recover_storage(self) -> None:
        """Tries a failed disk again.

        The log is read again, because a failed write may have stored a part of its data.
        """
        if self._loop.time() - self.storage_failed_at < STORAGE_RETRY_INTERVAL:
            return
        self.storage_failed_at = self._loop.time()
        try:
            self.storage.load()
            self.storage.rewrite()
        except (OSError, RaftStorageError) as error:
            self._log.error("raft.storage_failed", why=str(error))
            return
        self.storage_failed_at = None
        self._start_node()
        self._log.info("raft.storage_recovered")

    def _apply(self, index: int, entry: raft.Entry) -> None:
        self._state.index = index
        result = ""
        if entry.kind == raft.EntryKind.COMMAND:
            result = self._apply_command(index, entry.body)
        self._proposals.resolve(index, entry.term, result)

    def _apply_command(self, index: int, body: bytes) -> str:
        """Applies a committed command; one that cannot be read changes nothing, at any planner."""
        try:
            command = orjson.loads(body)
            kind = command["kind"]
            result = self._state.apply(command)
        except UNREADABLE_COMMAND_ERRORS as error:
            self._log.error("raft.command_unreadable", index=index, why=repr(error))
            return "refused: the entry cannot be read"
        self._log.info("raft.command_applied", index=index, kind=kind, said=result)
        self._record_command(index, command, result)
        return result

    def _record_command(self, index: int, command: StoredCommand, result: str) -> None:
        active, staged = self.policy.active, self.policy.staged
        self._record(
            "decided",
            planner=self.member_id,
            index=index,
            order=command["kind"],
            said=result,
            force=active.version if active else 0,
            rows=[list(row) for row in active.folder_limits] if active else [],
            staged=staged.version if staged else 0,
        )

    def _compact(self) -> None:
        """Replaces applied entries by a snapshot once there are enough of them."""
        applied = self.node.last_applied - self.node.snapshot.index
        if len(self.node.log) > COMPACTION_THRESHOLD and applied > COMPACTION_THRESHOLD // 2:
            self.node.compact(self.node.last_applied, self._state.serialized())

    def on_message(self, body: messages.Word) -> None:
        """Handles another planner's Raft message."""
        if self.storage_failed_at is not None:
            return
        self.node.receive(self._loop.time(), raft_codec.decode(body))
        self._process_ready()

    # Leadership.

    def _update_leadership(self) -> None:
        """Begins or ends this planner's leadership, and does the leader's work."""
        term = self.node.term if self.is_leader else 0
        if term != self._leading_term:
            self._change_leadership(term)
        if term:
            self._lead(term)

    def _change_leadership(self, term: int) -> None:
        self._leading_term = term
        if term:
            self._policy_leader = PolicyLeader(
                self._state, self._loop.time(), self._bootstrap_command, self._log
            )
            self._log.info("raft.leader_elected", term=self.node.term)
        else:
            self._policy_leader = None
            self._log.info("raft.leadership_lost", term=self.node.term)
            self._proposals.fail_all("another planner leads; it may still be decided")
        self._record("leads", planner=self.member_id, term=self.node.term, leads=bool(term))
        self._on_leadership(bool(term))

    def _lead(self, term: int) -> None:
        confirmed = self.node.confirmed_round
        self._policy_leader.on_round_confirmed(confirmed)
        now = self._loop.time()
        self._policy_leader.send_grants(now, confirmed, term, self.applied_index)
        command = self._policy_leader.next_command(now)
        if command is None or self._proposals.contains(command):
            return
        try:
            self._submit(command)
        except ProposalRejectedError as error:
            self._policy_leader.coordinator.on_command_rejected()
            self._warnings.warn("raft.proposal_rejected", str(error))

    # Proposals.

    async def propose(self, command: StoredCommand) -> str:
        """Proposes a command, and returns its result once it is committed and applied.

        Raises:
            NotLeaderError: Another planner leads.
            ProposalUndecidedError: The outcome is not known; the command may still be committed.
            ProposalRejectedError: The log does not accept it now.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        try:
            async with asyncio.timeout(PROPOSAL_TIMEOUT):
                return await self._submit(command)
        except TimeoutError as error:
            raise ProposalUndecidedError(
                f"not decided within {PROPOSAL_TIMEOUT:g} s; it may still be: look before you ask again "
                f"with other words"
            ) from error

    def _submit(self, command: StoredCommand) -> asyncio.Future:
        """Appends a command to the log, and returns a future of its result."""
        if self._proposals.is_full:
            raise ProposalRejectedError(f"{MAX_PROPOSALS} orders wait to be decided")
        body = orjson.dumps(command)
        if len(body) > MAX_ENTRY_BYTES:  # too long for a frame: it would block the entries after it
            raise ProposalRejectedError(f"an order of {len(body)} bytes; {MAX_ENTRY_BYTES} is the most")
        try:
            index, term = self.node.propose(self._loop.time(), body)
        except raft.ProposalRejectedError as error:
            raise ProposalRejectedError(str(error)) from error
        result = self._proposals.add(index, term, command)
        self._loop.call_soon(self._process_ready)
        return result

    def confirm_leadership(self, call: Callable[[], None]) -> None:
        """Calls a function once a majority has confirmed, after this call, that this planner leads."""
        if self.is_leader and self._policy_leader is not None:
            self._policy_leader.confirm_leadership(self.node.round, call)

    # Members of the policy, and other planners.

    def on_lease_request(self, peer: PeerConnection, request: messages.PolicyAsk) -> None:
        """Handles a lease request; raises WireError if it names another member."""
        if self.is_leader and self._policy_leader is not None:
            self._policy_leader.on_lease_request(peer, request, self._loop.time(), self.node.round)

    def on_planner_connected(self, member_id: str) -> None:
        """Called when another planner has connected."""
        self._replacement.on_planner_connected(member_id, self.node.members)

    def _replace_members(self) -> None:
        if self.is_leader and self._replacement.advance(self.node, self._loop.time()):
            self._process_ready()
