"""A handle's cached copy of a file's row and of some of its block rows."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.operation_runner import OperationRunner
from rushmux.files import layout
from rushmux.files.layout import Extent, FileRow
from rushmux.nodewire import messages
from rushmux.sftp import packets as sftp

MAX_CACHED_BLOCKS = 64  # block rows cached for each handle; covers 16 MiB of a sequential read


class Block(NamedTuple):
    """A block's extents, and the event loop's time at which they were read."""

    extents: Sequence[Extent]
    version: int
    read_at: float


class FileView:
    """Caches the rows of one file.

    Attributes:
        file: The file's row.
        version: The row's version.
        blocks: Cached blocks by number, least recently read first.
    """

    def __init__(self, file_id: str, file: FileRow, version: int):
        self.file_id, self.file, self.version = file_id, file, version
        self.loop = asyncio.get_running_loop()
        self.read_at = self.loop.time()
        self.blocks: OrderedDict[int, Block] = OrderedDict()

    async def refresh(self, runner: OperationRunner, numbers: Iterable[int], since: float) -> None:
        """Rereads the file's row and the given blocks if they are older than the loop's time `since`.

        Raises:
            RequestRejectedError: The file was removed.
        """
        stale = [number for number in numbers if self._is_stale(number, since)]
        if not stale and self.read_at >= since:
            return
        data_id, key, now = self.file.data_id, layout.file_key(self.file_id), self.loop.time()
        block_keys = [layout.block_key(data_id, number) for number in stale]
        found = (await runner.read_rows(self.file_id, keys=[key, *block_keys])).rows
        rows = {row.key: row for row in found}
        if key not in rows:
            raise RequestRejectedError(sftp.NO_SUCH_FILE, "the file was removed")
        file, version = layout.unpack_file(rows[key].value), rows[key].version
        if file.data_id != data_id:  # truncated by another client: the blocks' keys have changed
            self.blocks.clear()
            self.set_file(file, version, now)
            await self.refresh(runner, stale, since)
            return
        if version >= self.version:
            self.set_file(file, version, now)
        for number, block_key in zip(stale, block_keys, strict=True):
            self.set_block(number, _unpack_block(rows.get(block_key), now))

    def _is_stale(self, number: int, since: float) -> bool:
        return number not in self.blocks or self.blocks[number].read_at < since

    def set_file(self, file: FileRow, version: int, now: float) -> None:
        """Caches the file's row, read at the loop's time `now`."""
        self.file, self.version, self.read_at = file, version, now

    def on_changed(self, file: FileRow, version: int) -> None:
        """Caches the file's row after a change of its attributes, which may have truncated blocks."""
        self.file, self.version = file, version
        self.blocks.clear()

    def set_block(self, number: int, block: Block) -> None:
        """Caches a block unless a newer version is cached; version 0: its row no longer exists."""
        known = self.blocks.get(number)
        if known is None or block.version >= known.version or block.version == 0:
            self.blocks[number] = block
            self.blocks.move_to_end(number)
        while len(self.blocks) > MAX_CACHED_BLOCKS:
            self.blocks.popitem(last=False)


def _unpack_block(row: messages.Row | None, now: float) -> Block:
    if row is None:
        return Block([], 0, now)
    return Block(layout.unpack_block(row.value), row.version, now)
