"""Checks what clients of the write-back buffer were told against what became of their writes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from rushmux.buffer.batch_writer import OVERWRITTEN
from rushmux.buffer.writeback import LOWER_LAYER_OVERWRITTEN

SlotKey = tuple[int, int]
"""A file's index and the index of a slot in it."""


ANSWER_TIME = 0.1
"""Seconds within which answers that were given at once arrive, in any order."""


class HandleKey(NamedTuple):
    """A handle that is open now."""

    file: int
    client: int


class BarrierSuccess(NamedTuple):
    """A barrier that succeeded though a restart had discarded numbers of which no barrier had been told."""

    at: float
    lost: frozenset[int]


class Discarded(NamedTuple):
    """A discard of a file's writes by the edge."""

    at: float
    file: int
    reason: str


@dataclass
class History:
    """What was written, acknowledged and discarded, and the losses reported to clients.

    Attributes:
        issued: Numbers written to each slot, in order.
        acknowledged: Numbers whose write succeeded.
        shed: Numbers whose write was rejected by load shedding.
        discarded: Numbers that the edge discarded.
        half_recorded: Numbers whose discard the disk recorded in part, and when.  A restart may find the
            record complete and discard them, and has to report that.
        stored_when_discarded: Discarded numbers that the nodes already had at that moment.
        writers: The open handle through which a number was written and acknowledged.
        untold: Discarded numbers that were acknowledged to an open handle, which was not told since.
        false_successes: Flushes and barriers that succeeded although they covered discarded writes.
        discards: Each discard of a file's writes.
        notified_at: When a client was last notified of a loss, by file.
        doubtful_barriers: Successes that are false unless another barrier was being told at that moment.
        barrier_losses: When barriers were told of a loss.
        restart_losses: Acknowledged numbers that a restart discarded, until a barrier reports a loss.
        records_refused: Whether the disk rejected records of the log.  The edge's later unbuffered writes are
            missing in the log, and recovery takes them for another edge's.
    """

    issued: dict[SlotKey, list[int]] = field(default_factory=dict)
    acknowledged: set[int] = field(default_factory=set)
    shed: set[int] = field(default_factory=set)
    discarded: set[int] = field(default_factory=set)
    stored_when_discarded: set[int] = field(default_factory=set)
    writers: dict[int, HandleKey] = field(default_factory=dict)
    untold: dict[HandleKey, set[int]] = field(default_factory=dict)
    false_successes: list[str] = field(default_factory=list)
    discards: list[Discarded] = field(default_factory=list)
    notified_at: dict[int, float] = field(default_factory=dict)
    half_recorded: dict[int, float] = field(default_factory=dict)
    restart_losses: set[int] = field(default_factory=set)
    doubtful_barriers: list[BarrierSuccess] = field(default_factory=list)
    barrier_losses: list[float] = field(default_factory=list)
    records_refused: bool = False

    def on_handles_opened(self) -> None:
        """Forgets the handles of an edge that was restarted."""
        self.writers.clear()
        self.untold.clear()

    def on_discarded(self, lost: set[int]) -> None:
        """Records discarded numbers, of which the handles that wrote them have to be told."""
        self.discarded |= lost
        for number in lost & self.writers.keys():
            self.untold.setdefault(self.writers[number], set()).add(number)

    def acknowledged_to(self, handles: Iterable[HandleKey]) -> set[int]:
        """Returns the numbers that were acknowledged to some handles so far."""
        wanted = set(handles)
        return {number for number, handle in self.writers.items() if handle in wanted}

    def on_success(self, handles: Iterable[HandleKey], covered: set[int]) -> None:
        """Checks a flush or barrier that succeeded and covers some numbers of its client's handles."""
        for handle in handles:
            lost = self.untold.get(handle, set()) & covered
            if lost:
                self.false_successes.append(
                    f"{handle} was told of success, but {sorted(lost)} were discarded"
                )

    def on_half_recorded(self, lost: set[int], at: float) -> None:
        """Records numbers that were not discarded, since the disk accepted only a part of the record."""
        self.half_recorded.update(dict.fromkeys(lost, at))

    def on_barrier_loss(self, at: float) -> None:
        """Notes that a barrier was told of a loss."""
        self.restart_losses.clear()
        self.barrier_losses.append(at)

    def on_barrier_success(self, restart_losses: set[int], at: float) -> None:
        """Notes a barrier that succeeded; the losses are those of restarts before it was set."""
        lost = restart_losses & self.restart_losses
        if lost:
            self.doubtful_barriers.append(BarrierSuccess(at, frozenset(lost)))

    def breaches(self, found: dict[SlotKey, int | None]) -> list[str]:
        """Describes the errors in the numbers found in the slots at the end."""
        errors = [error for key, number in found.items() for error in self._slot_errors(key, number)]
        errors += self.false_successes
        errors += self._barrier_errors()
        for discard in self.discards:
            if self.notified_at.get(discard.file, -1.0) < discard.at:
                errors.append(f"file {discard.file}: no client learned of the discard at {discard.at:.3f}")
            if discard.reason in (OVERWRITTEN, LOWER_LAYER_OVERWRITTEN) and not self.records_refused:
                errors.append(f"file {discard.file}: discarded as overwritten, but no other edge wrote there")
        return errors

    def _barrier_errors(self) -> list[str]:
        return [
            f"a barrier succeeded after a restart had discarded {sorted(success.lost)}"
            for success in self.doubtful_barriers
            if not any(success.at <= told_at <= success.at + ANSWER_TIME for told_at in self.barrier_losses)
        ]

    def _may_be_discarded(self, slot_key: SlotKey, number: int) -> bool:
        """Whether a half recorded discard of a number was reported since."""
        recorded_at = self.half_recorded.get(number)
        return recorded_at is not None and self.notified_at.get(slot_key[0], -1.0) > recorded_at

    def _slot_errors(self, slot_key: SlotKey, number: int | None) -> list[str]:
        issued = self.issued.get(slot_key, [])
        kept = [each for each in issued if each in self.acknowledged and each not in self.discarded]
        newest = max(kept, default=0)
        if number is None or (number and number not in issued):
            return [f"slot {slot_key} holds {number}, which was never written there or is incomplete"]
        surely_kept = [each for each in kept if not self._may_be_discarded(slot_key, each)]
        if number in (newest, max(surely_kept, default=0)):
            return []
        if number < newest:
            return [f"slot {slot_key} holds {number}; {newest} was acknowledged, no loss was reported"]
        if number in self.shed:
            return [f"slot {slot_key} holds {number}, which was rejected by load shedding"]
        if number in self.discarded and number not in self.stored_when_discarded:
            return [f"slot {slot_key} holds {number}, which was discarded"]
        return []
