"""Checks what clients of the write-back buffer were told against what became of their writes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from rushmux.buffer.batch_writer import OVERWRITTEN
from rushmux.buffer.writeback import LOWER_LAYER_OVERWRITTEN

SlotKey = tuple[int, int]
"""A file's index and the index of a slot in it."""


class HandleKey(NamedTuple):
    """A handle that is open now."""

    file: int
    client: int


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
        stored_when_discarded: Discarded numbers that the nodes already had at that moment.
        writers: The open handle through which a number was written and acknowledged.
        untold: Discarded numbers that were acknowledged to an open handle, which was not told since.
        false_successes: Flushes and barriers that succeeded although they covered discarded writes.
        discards: Each discard of a file's writes.
        notified_at: When a client was last notified of a loss, by file.
        other_edge_wrote: Whether the other edge wrote.
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
    other_edge_wrote: bool = False
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

    def breaches(self, found: dict[SlotKey, int | None]) -> list[str]:
        """Describes the errors in the numbers found in the slots at the end."""
        errors = [error for key, number in found.items() for error in self._slot_errors(key, number)]
        errors += self.false_successes
        others_wrote = self.other_edge_wrote or self.records_refused
        for discard in self.discards:
            if self.notified_at.get(discard.file, -1.0) < discard.at:
                errors.append(f"file {discard.file}: no client learned of the discard at {discard.at:.3f}")
            if discard.reason in (OVERWRITTEN, LOWER_LAYER_OVERWRITTEN) and not others_wrote:
                errors.append(f"file {discard.file}: discarded as overwritten, but no other edge wrote")
        return errors

    def _slot_errors(self, slot_key: SlotKey, number: int | None) -> list[str]:
        issued = self.issued.get(slot_key, [])
        kept = [each for each in issued if each in self.acknowledged and each not in self.discarded]
        newest = max(kept, default=0)
        if number is None or (number and number not in issued):
            return [f"slot {slot_key} holds {number}, which was never written there or is incomplete"]
        if number == newest:
            return []
        if number < newest:
            return [f"slot {slot_key} holds {number}; {newest} was acknowledged, no loss was reported"]
        if number in self.shed:
            return [f"slot {slot_key} holds {number}, which was rejected by load shedding"]
        if number in self.discarded and number not in self.stored_when_discarded:
            return [f"slot {slot_key} holds {number}, which was discarded"]
        return []
