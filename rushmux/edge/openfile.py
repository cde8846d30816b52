"""An open file: reads through cached rows, and writes to the nodes or into the write-back buffer."""

import asyncio
from collections.abc import Sequence

from rushmux.edge.block_io import BlockPart, read_parts
from rushmux.edge.directories import ResolvedName
from rushmux.edge.errors import ObjectMissingError, RequestRejectedError
from rushmux.edge.file_system import FileSystem
from rushmux.edge.file_view import FileView
from rushmux.edge.group_commit import GroupCommit
from rushmux.edge.operation_runner import OperationRunner
from rushmux.files import layout
from rushmux.files.paths import Names
from rushmux.sftp import packets as sftp

MAX_READ_ATTEMPTS = 3  # a read is repeated if objects were replaced meanwhile


class OpenFile:
    """One handle of a file.  Cached rows are used for at most `max_row_age` seconds.

    Attributes:
        path: Names of the file's path from the root; updated by renames.
        view: The handle's cached rows of the file.
        buffered_file: The file in the edge's write-back buffer; None: there is no buffer.
    """

    def __init__(self, file_system: FileSystem, path: Names, found: ResolvedName, flags: int, buffer=None):
        self.file_system, self.path, self.folder = file_system, path, path[0]
        self.file_id, self.flags = found.file_id, flags
        self.loop = asyncio.get_running_loop()
        self.view = FileView(found.file_id, found.file, found.file_version)
        self.group_commit = GroupCommit(self.view, file_system, self.folder)
        self.buffer, self.buffered_file = buffer, None
        if buffer is not None:
            self.buffered_file = buffer.open_handle(self.folder, self.file_id, "/" + "/".join(path), self)

    def release(self) -> None:
        """Releases the file in the buffer when the handle closes."""
        if self.buffer is not None:
            self.buffer.close_handle(self)

    async def wait_until_flushed(self, runner: OperationRunner) -> None:
        """Waits until this edge has no buffered writes of the file; raises no loss of earlier ones."""
        if self.buffer is not None:
            await self.buffer.wait_until_flushed(self.buffered_file, runner)

    async def flush(self, runner: OperationRunner) -> None:
        """Waits until all writes through any handle of this edge are readable through any edge.

        Raises RequestRejectedError, once for each loss, if writes were discarded.
        """
        if self.buffer is not None:
            await self.buffer.flush(self, runner)

    async def read(self, runner: OperationRunner, offset: int, length: int) -> bytes:
        """Reads bytes at `offset`, fewer at the end of the file; holes read as zeros."""
        length = min(length, self.file_system.settings.object_bytes)
        since = self.loop.time() - self.file_system.settings.max_row_age
        # Taken before the rows are read, so that data flushed meanwhile is not missed.
        buffered, buffered_end = [], 0
        if self.buffer is not None:
            buffered = self.buffered_file.overlay(offset, offset + length)
            buffered_end = self.buffered_file.end
            since = max(since, self.buffered_file.committed_at)
        view = self.view
        for _ in range(MAX_READ_ATTEMPTS):
            ranges = layout.split_by_block(offset, length, view.file.block_size)
            await view.refresh(runner, [block_range.number for block_range in ranges], since)
            length = max(0, min(length, max(view.file.size, buffered_end) - offset))
            try:
                data = await read_parts(runner, length, self._parts(offset, length))
            except ObjectMissingError:
                since = self.loop.time()
            else:
                return _overlay_buffered(data, offset, buffered)
        raise RequestRejectedError(sftp.FAILURE, "an object of this file is not on its node")

    def _parts(self, offset: int, length: int) -> list[BlockPart]:
        block_size, blocks = self.view.file.block_size, self.view.blocks
        return [
            BlockPart(number * block_size - offset, blocks[number].extents, start, part_length)
            for number, start, part_length in layout.split_by_block(offset, length, block_size)
        ]

    async def write(self, runner: OperationRunner, offset: int, data: bytes) -> None:
        """Writes data; returns when any edge can read it, or when it is buffered."""
        if self.flags & sftp.APPEND:
            await self.wait_until_flushed(runner)
            await self.group_commit.append(runner, data)
            return
        largest = layout.max_file_size(self.view.file.block_size)
        if offset + len(data) > largest:
            raise RequestRejectedError(sftp.FAILURE, f"past the largest size of a file, {largest}")
        if self.buffer is not None and await self.buffer.write(self, runner, offset, data):
            return
        await self.group_commit.write(runner, offset, data)


def _overlay_buffered(data: bytes, offset: int, buffered: Sequence) -> bytes:
    """Overlays buffered writes on data read from the nodes."""
    if not buffered:
        return data
    result = bytearray(data)
    for piece in buffered:
        part = piece.data[: len(result) + offset - piece.start]
        result[piece.start - offset : piece.start - offset + len(part)] = part
    return bytes(result)
