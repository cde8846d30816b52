"""The buffered writes of a file and of a folder, in layers.

Each barrier of a folder begins a new layer, and a layer is flushed only after the one below it.  A file's
writes of a layer become visible together, so that a reader at another edge never sees part of a write.
There is no I/O and no clock; times are seconds on the caller's clock.
"""

from collections import deque

from rushmux.buffer.base_versions import BaseVersions
from rushmux.buffer.errors import WritesDiscardedError
from rushmux.buffer.extents import BufferedExtent, ExtentIndex
from rushmux.buffer.flush_budget import FlushBudget
from rushmux.buffer.losses import BarrierWait, FileLosses

MAX_STAMPS = 64  # per file: more than the changes that a batch sends before its writes are discarded
NO_BARRIER = -1  # lower than the first barrier of a folder


class Layer:
    """A file's writes between two barriers: those of the batch in flight, and newer ones.

    Attributes:
        index: The bytes of the writes that are in no batch.
        first_sequence: Sequence number of the oldest write in `index`.
        last_sequence: Sequence number of the newest write in `index`.
        write_count: Number of writes that went into `index`.
        oldest_at: Time of the oldest write, or of the end of the last batch if that is later; None without
            writes.
        in_flight: The bytes of the batch in flight; None without one.
        in_flight_first: Sequence number of the oldest write in flight.
        in_flight_last: Sequence number of the newest write in flight.
        in_flight_count: Number of writes in flight.
    """

    __slots__ = (
        "first_sequence",
        "in_flight",
        "in_flight_count",
        "in_flight_first",
        "in_flight_last",
        "index",
        "last_sequence",
        "oldest_at",
        "write_count",
    )

    def __init__(self):
        self.index = ExtentIndex()
        self.in_flight: ExtentIndex | None = None
        self.oldest_at: float | None = None
        self.first_sequence = self.last_sequence = self.write_count = 0
        self.in_flight_first = self.in_flight_last = self.in_flight_count = 0

    @property
    def byte_count(self) -> int:
        """Buffered bytes, including those in flight."""
        return self.index.byte_count + (self.in_flight.byte_count if self.in_flight else 0)

    def indexes(self) -> list[ExtentIndex]:
        """The non-empty indexes, older bytes first."""
        return [index for index in (self.in_flight, self.index) if index]

    def add(self, start: int, data: bytes | memoryview, sequence: int, now: float) -> None:
        """Adds a write over older ones."""
        if self.oldest_at is None:
            self.oldest_at = now
        if not self.write_count:
            self.first_sequence = sequence
        self.index.insert(start, data, sequence)
        self.write_count += 1
        self.last_sequence = sequence

    def start_flush(self) -> ExtentIndex:
        """Moves the writes so far into flight; later ones go to a new index."""
        self.in_flight, self.in_flight_count = self.index, self.write_count
        self.in_flight_first, self.in_flight_last = self.first_sequence, self.last_sequence
        self.index, self.write_count = ExtentIndex(), 0
        return self.in_flight

    def finish_flush(self, now: float) -> None:
        """Drops the writes in flight, which are on the nodes now."""
        self.in_flight, self.in_flight_count = None, 0
        self.oldest_at = now if self.write_count else None

    def undo_flush(self) -> None:
        """Merges the writes in flight back into `index`, below newer ones."""
        merged = self.in_flight
        for extent in self.index:
            merged.insert(extent.start, extent.data, extent.sequence)
        self.index, self.in_flight, self.first_sequence = merged, None, self.in_flight_first
        self.write_count, self.in_flight_count = self.write_count + self.in_flight_count, 0

    def has_writes_up_to(self, sequence: int) -> bool:
        """Whether any write up to this sequence number is still buffered."""
        if self.in_flight is not None and self.in_flight_first <= sequence:
            return True
        return bool(self.write_count) and self.first_sequence <= sequence


class BufferedFile:
    """A file with buffered writes, open handles, or a loss that handles have to be told of.

    Attributes:
        layers: The layers with writes, by the number of the barrier that ends them.
        losses: The discards of its writes, and which handles were told of them.
        last_write_at: Time of the newest write.
        flush_requested: Sequence number of the newest write that a client waits for, 0 for none.
        committed_at: When the last batch with the file became visible.
        version: Version of the file's row when this edge last saw it.
        bases: The versions that the buffered writes build on.
        stamps: Stamps of the changes sent since `version`; their outcomes are unknown, so the file's row may
            have any of them.
        recovered: Whether the writes come from the log of an earlier run.
    """

    def __init__(self, folder: str, file_id: str, path: str):
        self.folder = folder
        self.file_id = file_id
        self.path = path
        self.layers: dict[int, Layer] = {}
        self.losses = FileLosses()
        self.last_write_at = 0.0
        self.flush_requested = 0
        self.committed_at = float("-inf")
        self.version = 0
        self.bases = BaseVersions()
        self.stamps: deque[str] = deque(maxlen=MAX_STAMPS)
        self.recovered = False

    @property
    def is_open(self) -> bool:
        """Whether any handle on this edge is open."""
        return bool(self.losses.told_counts)

    @property
    def dirty(self) -> bool:
        """Whether any write is buffered."""
        return bool(self.layers)

    @property
    def end(self) -> int:
        """End offset of the last buffered byte, 0 without any."""
        return max((index.end for layer in self.layers.values() for index in layer.indexes()), default=0)

    @property
    def last_sequence(self) -> int:
        """Sequence number of the newest buffered write, 0 without any."""
        layers = self.layers.values()
        return max((max(layer.last_sequence, layer.in_flight_last) for layer in layers), default=0)

    def overlay(self, start: int, end: int) -> list[BufferedExtent]:
        """The buffered bytes of a range, older extents before newer ones."""
        return [
            extent
            for _, layer in sorted(self.layers.items())
            for index in layer.indexes()
            for extent in index.overlapping(start, end)
        ]


class BufferedFolder:
    """A folder's files, barriers and flush budget.

    Attributes:
        barrier: Number of the next barrier, and of the layer for new writes.
        barrier_waits: The barriers that clients wait for.
        requested_barrier: Layers up to this one are to be flushed now.
        byte_count: Buffered bytes.
        flushing: Whether a batch of the folder is in flight.
        failures: Number of consecutive failed batches.
        retry_at: Time before which no batch starts.
        restart_loss: A loss of writes of an earlier run, of which the next barrier has to be told.
    """

    def __init__(self, name: str, budget: FlushBudget):
        self.name = name
        self.budget = budget
        self.files: dict[str, BufferedFile] = {}
        self.barrier_waits: dict[BarrierWait, bool] = {}
        self.barrier = 0
        self.requested_barrier = NO_BARRIER
        self.byte_count = 0
        self.flushing = False
        self.failures = 0
        self.retry_at = 0.0
        self.restart_loss: WritesDiscardedError | None = None

    def take_restart_loss(self) -> WritesDiscardedError | None:
        """Returns the loss of which a barrier has to be told, if any, and counts it as told."""
        error, self.restart_loss = self.restart_loss, None
        return error

    def close_layer(self) -> int:
        """Closes the current layer, requests the flush of all layers up to it, and returns its number."""
        self.requested_barrier = self.barrier
        self.barrier += 1
        return self.requested_barrier

    def lowest_layer(self) -> int | None:
        """The oldest layer with writes; None without any."""
        return min((barrier for file in self.files.values() for barrier in file.layers), default=None)

    def files_in_layer(self, barrier: int) -> list[BufferedFile]:
        """The files with writes in a layer."""
        return [file for file in self.files.values() if barrier in file.layers]

    def oldest_write_at(self, now: float) -> float:
        """Time of the oldest buffered write; `now` without any."""
        layers = (layer for file in self.files.values() for layer in file.layers.values())
        return min((layer.oldest_at for layer in layers if layer.oldest_at is not None), default=now)
