"""The index of buffered writes, which an edge has answered but not yet flushed, by folder and file.

There is no I/O and no clock; times are seconds on the caller's clock.
"""

from collections.abc import Callable, Iterator

from rushmux.buffer.buffered_files import BufferedFile, BufferedFolder, Layer
from rushmux.buffer.errors import WritesDiscardedError
from rushmux.buffer.flush_budget import FlushBudget


class BufferedWrites:
    """All writes that an edge has buffered.

    Args:
        background_rate: Maps a folder's name to its background flush rate in units per second.

    Attributes:
        byte_count: Buffered bytes.
        last_sequence: Sequence number of the newest write.
        nonempty_folders: The folders with buffered bytes, the only ones that the policy checks.
    """

    def __init__(self, background_rate: Callable[[str], float]):
        self.background_rate = background_rate
        self.folders: dict[str, BufferedFolder] = {}
        self.nonempty_folders: dict[str, BufferedFolder] = {}
        self.byte_count = 0
        self.last_sequence = 0

    def folder(self, name: str) -> BufferedFolder:
        """The folder's state, created if missing."""
        found = self.folders.get(name)
        if found is None:
            found = self.folders[name] = BufferedFolder(name, FlushBudget(self.background_rate(name)))
        return found

    def file(self, folder: str, file_id: str, path: str = "") -> BufferedFile:
        """The file's state, created if missing."""
        files = self.folder(folder).files
        found = files.get(file_id)
        if found is None:
            found = files[file_id] = BufferedFile(folder, file_id, path)
        if path:
            found.path = path
        return found

    def find_file(self, folder: str, file_id: str) -> BufferedFile | None:
        """The file's state, or None."""
        found = self.folders.get(folder)
        return found and found.files.get(file_id)

    def dirty_files(self) -> Iterator[BufferedFile]:
        """The files with buffered writes."""
        for folder in self.folders.values():
            for file in folder.files.values():
                if file.dirty:
                    yield file

    def files_with_errors(self) -> Iterator[BufferedFile]:
        """The files with discarded writes that handles have to be told of."""
        for folder in self.folders.values():
            for file in folder.files.values():
                if file.losses.error is not None:
                    yield file

    def forget_if_unused(self, file: BufferedFile) -> None:
        """Forgets a file without buffered writes, open handles and losses to be told."""
        if not (file.dirty or file.losses.error or file.is_open):
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
        """Changes the buffered bytes of a folder by `change`."""
        folder.byte_count += change
        self.byte_count += change
        if folder.byte_count:
            self.nonempty_folders[folder.name] = folder
        else:
            self.nonempty_folders.pop(folder.name, None)

    def set_barrier(self, name: str) -> int:
        """Sets a barrier after a folder's writes, requests their flush, and returns its number."""
        return self.folder(name).close_layer()

    def request_flush(self, file: BufferedFile) -> int:
        """Requests the flush of a file, and of all layers of its folder below the file's newest.

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
        """Whether the file's writes up to `sequence` are on the nodes, or were discarded with an error."""
        return not any(layer.has_writes_up_to(sequence) for layer in file.layers.values())

    def is_barrier_flushed(self, name: str, barrier: int) -> bool:
        """Whether all layers up to a barrier are on the nodes or were discarded."""
        lowest = self.folder(name).lowest_layer()
        return lowest is None or lowest > barrier

    def discard(self, file: BufferedFile, barrier: int, reason: str) -> None:
        """Discards a file's writes from a layer on, and records the loss for its handles and for barriers."""
        folder = self.folder(file.folder)
        lost_layers = [number for number in file.layers if number >= barrier]
        for number in lost_layers:
            self.adjust_byte_count(folder, -file.layers.pop(number).byte_count)
        error = WritesDiscardedError(file.path, reason)
        file.losses.record(error)
        if file.recovered:
            folder.restart_loss = error
        for wait in folder.barrier_waits:
            wait.on_loss(min(lost_layers, default=barrier), error)

    def release_flushed(self, file: BufferedFile) -> None:
        """Resets a file if it has no buffered writes, and forgets it if nothing else needs it."""
        if not file.layers:
            file.flush_requested, file.recovered = 0, False
            file.bases.clear()
        self.forget_if_unused(file)
