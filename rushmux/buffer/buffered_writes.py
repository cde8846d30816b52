"""The index of buffered writes: what an edge has answered and not yet flushed, by folder, file and layer.

A folder's writes lie in layers, one for each barrier that was set: a layer is flushed only after the one
below it.  Within a layer a file's writes become visible together, so that a reader at another edge never sees
part of one.  There is no I/O and no clock; times are seconds of the caller's clock.
"""

from collections.abc import Callable, Iterator

from rushmux.buffer.errors import WritesDiscardedError
from rushmux.buffer.extents import BufferedExtent, ExtentIndex
from rushmux.buffer.flush_budget import FlushBudget

NO_BARRIER = -1  # before the first barrier of a folder


class Layer:
    """A file's writes between two barriers: those of the batch in flight, and newer ones.

    Attributes:
        index: The bytes of the writes that are in no batch.
        first_sequence: The oldest write in `index`.
        last_sequence: The newest write in `index`.
        write_count: How many writes went into `index`.
        oldest_at: When the oldest write came, in seconds, or the last batch ended; None where there is none.
        in_flight: The bytes of the batch that is in flight, None where there is none.
        in_flight_first: The oldest write in flight.
        in_flight_last: The newest write in flight.
        in_flight_count: How many writes are in flight.
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
        """Bytes buffered, in flight or not."""
        return self.index.byte_count + (self.in_flight.byte_count if self.in_flight else 0)

    def indexes(self) -> list[ExtentIndex]:
        """The indexes that are not empty, older bytes first."""
        return [index for index in (self.in_flight, self.index) if index]

    def add(self, start: int, data: bytes | memoryview, sequence: int, now: float) -> None:
        """Puts a write over older ones."""
        if self.oldest_at is None:
            self.oldest_at = now
        if not self.write_count:
            self.first_sequence = sequence
        self.index.insert(start, data, sequence)
        self.write_count += 1
        self.last_sequence = sequence

    def start_flush(self) -> ExtentIndex:
        """Puts the writes so far in flight; newer ones get an index of their own."""
        self.in_flight, self.in_flight_count = self.index, self.write_count
        self.in_flight_first, self.in_flight_last = self.first_sequence, self.last_sequence
        self.index, self.write_count = ExtentIndex(), 0
        return self.in_flight

    def finish_flush(self, now: float) -> None:
        """Forgets what was in flight: it is on the nodes."""
        self.in_flight, self.in_flight_count = None, 0
        self.oldest_at = now if self.write_count else None

    def undo_flush(self) -> None:
        """Puts what was in flight back under what is newer."""
        merged = self.in_flight
        for extent in self.index:
            merged.insert(extent.start, extent.data, extent.sequence)
        self.index, self.in_flight, self.first_sequence = merged, None, self.in_flight_first
        self.write_count, self.in_flight_count = self.write_count + self.in_flight_count, 0

    def has_writes_up_to(self, sequence: int) -> bool:
        """Whether any write up to this one is still buffered."""
        if self.in_flight is not None and self.in_flight_first <= sequence:
            return True
        return bool(self.write_count) and self.first_sequence <= sequence


class BufferedFile:
    """A file with buffered writes, open handles, or an error that no client was notified of yet.

    Attributes:
        layers: The layers with writes, by the number of the barrier that follows them.
        error: Why writes of the file were discarded, until a client is notified.
        last_write_at: When the newest write came, in seconds.
        flush_requested: The newest write that a client waits for, 0 for none.
        committed_at: When the last batch with the file became visible.
        open_handles: How many handles of this edge are open.
        version: Version of the file's row when it was last seen here.
        stamp: Stamp of the last change of rows that was sent.
        recovered: Whether the writes were found in the log of an earlier run.
    """

    def __init__(self, folder: str, file_id: str, path: str):
        self.folder = folder
        self.file_id = file_id
        self.path = path
        self.layers: dict[int, Layer] = {}
        self.error: WritesDiscardedError | None = None
        self.last_write_at = 0.0
        self.flush_requested = 0
        self.committed_at = float("-inf")
        self.open_handles = 0
        self.version = 0
        self.stamp = ""
        self.recovered = False

    @property
    def dirty(self) -> bool:
        """Whether any write is buffered."""
        return bool(self.layers)

    @property
    def end(self) -> int:
        """One past the last buffered byte, 0 where there is none."""
        return max((index.end for layer in self.layers.values() for index in layer.indexes()), default=0)

    @property
    def last_sequence(self) -> int:
        """The newest buffered write, 0 where there is none."""
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
    """A folder's files, its barriers and its budget.

    Attributes:
        barrier: Number of the next barrier, and of the layer that takes new writes.
        requested_barrier: Layers up to this one are to be flushed now.
        byte_count: Bytes buffered.
        flushing: Whether a batch of the folder is in flight.
        failures: Batches that failed since the last that did not.
        retry_at: No batch starts before this time, in seconds.
    """

    def __init__(self, name: str, budget: FlushBudget):
        self.name = name
        self.budget = budget
        self.files: dict[str, BufferedFile] = {}
        self.barrier = 0
        self.requested_barrier = NO_BARRIER
        self.byte_count = 0
        self.flushing = False
        self.failures = 0
        self.retry_at = 0.0

    def close_layer(self) -> int:
        """Closes the current layer, requests the flush of all up to it, and returns its number."""
        self.requested_barrier = self.barrier
        self.barrier += 1
        return self.requested_barrier

    def lowest_layer(self) -> int | None:
        """The oldest layer with writes, None where there is none."""
        return min((barrier for file in self.files.values() for barrier in file.layers), default=None)

    def files_in_layer(self, barrier: int) -> list[BufferedFile]:
        """The files with writes in a layer."""
        return [file for file in self.files.values() if barrier in file.layers]

    def oldest_write_at(self, now: float) -> float:
        """When the oldest buffered write came; `now` where there is none."""
        layers = (layer for file in self.files.values() for layer in file.layers.values())
        return min((layer.oldest_at for layer in layers if layer.oldest_at is not None), default=now)


class BufferedWrites:
    """All writes that an edge has buffered.

    Args:
        background_rate: Gives the units a second of background flushes that a folder, by its name, may use.

    Attributes:
        byte_count: Bytes buffered.
        last_sequence: Number of the newest write that was taken.
        nonempty_folders: The folders with buffered bytes, the only ones that the policy checks.
    """

    def __init__(self, background_rate: Callable[[str], float]):
        self.background_rate = background_rate
        self.folders: dict[str, BufferedFolder] = {}
        self.nonempty_folders: dict[str, BufferedFolder] = {}
        self.byte_count = 0
        self.last_sequence = 0

    def folder(self, name: str) -> BufferedFolder:
        """The folder's state, made where there is none."""
        found = self.folders.get(name)
        if found is None:
            found = self.folders[name] = BufferedFolder(name, FlushBudget(self.background_rate(name)))
        return found

    def file(self, folder: str, file_id: str, path: str = "") -> BufferedFile:
        """The file's state, made where there is none."""
        files = self.folder(folder).files
        found = files.get(file_id)
        if found is None:
            found = files[file_id] = BufferedFile(folder, file_id, path)
        if path:
            found.path = path
        return found

    def find_file(self, folder: str, file_id: str) -> BufferedFile | None:
        """The file's state where there is one."""
        found = self.folders.get(folder)
        return found and found.files.get(file_id)

    def dirty_files(self) -> Iterator[BufferedFile]:
        """The files with buffered writes."""
        for folder in self.folders.values():
            for file in folder.files.values():
                if file.dirty:
                    yield file

    def forget_if_unused(self, file: BufferedFile) -> None:
        """Forgets a file without buffered writes, pending error and open handles."""
        if not (file.dirty or file.error or file.open_handles):
            self.folder(file.folder).files.pop(file.file_id, None)

    def add(self, file: BufferedFile, start: int, data: bytes | memoryview, now: float) -> int:
        """Buffers a write of a file and returns its sequence number."""
        folder = self.folder(file.folder)
        layer = file.layers.get(folder.barrier)
        if layer is None:
            layer = file.layers[folder.barrier] = Layer()
        self.last_sequence += 1
        before = layer.index.byte_count
        layer.add(start, data, self.last_sequence, now)
        self.adjust_byte_count(folder, layer.index.byte_count - before)
        file.last_write_at = now
        return self.last_sequence

    def adjust_byte_count(self, folder: BufferedFolder, change: int) -> None:
        """Adds to the bytes that a folder has buffered."""
        folder.byte_count += change
        self.byte_count += change
        if folder.byte_count:
            self.nonempty_folders[folder.name] = folder
        else:
            self.nonempty_folders.pop(folder.name, None)

    def set_barrier(self, name: str) -> int:
        """Sets a barrier behind a folder's writes, requests their flush, and returns the barrier's number."""
        return self.folder(name).close_layer()

    def request_flush(self, file: BufferedFile) -> int:
        """Requests the flush of a file and of all layers below its newest one.

        Returns:
            The sequence number to wait for with `is_flushed`.
        """
        folder = self.folder(file.folder)
        file.flush_requested = max(file.flush_requested, file.last_sequence)
        if file.layers:
            folder.requested_barrier = max(folder.requested_barrier, max(file.layers) - 1)
        return file.flush_requested

    @staticmethod
    def is_flushed(file: BufferedFile, sequence: int) -> bool:
        """Whether the file's writes up to this one are on the nodes, or discarded with an error left."""
        return not any(layer.has_writes_up_to(sequence) for layer in file.layers.values())

    def is_barrier_flushed(self, name: str, barrier: int) -> bool:
        """Whether all layers up to a barrier are on the nodes or discarded."""
        lowest = self.folder(name).lowest_layer()
        return lowest is None or lowest > barrier

    def discard(self, file: BufferedFile, barrier: int, reason: str) -> None:
        """Discards a file's writes from a layer on and leaves an error for its clients."""
        for number in [number for number in file.layers if number >= barrier]:
            layer = file.layers.pop(number)
            self.adjust_byte_count(self.folder(file.folder), -layer.byte_count)
            file.error = WritesDiscardedError(file.path, reason)

    def release_flushed(self, file: BufferedFile) -> None:
        """Resets a file without buffered writes, and forgets it where nothing else needs it."""
        if not file.layers:
            file.flush_requested, file.recovered = 0, False
        self.forget_if_unused(file)

    def take_error(self, file: BufferedFile) -> WritesDiscardedError | None:
        """The error that no client was notified of yet; it is returned once."""
        error, file.error = file.error, None
        self.forget_if_unused(file)
        return error
