"""A cache of the rows of dirty files, so that a batch can be committed without reading them."""

from typing import NamedTuple

from rushmux.buffer.buffered_files import BufferedFile
from rushmux.edge.file_view import FileView
from rushmux.files.layout import Extent, FileRow


class BlockRow(NamedTuple):
    """A block's row; version 0 if it does not exist."""

    version: int
    extents: list[Extent]


NO_BLOCK = BlockRow(0, [])


class StoredRun(NamedTuple):
    """Adjacent buffered bytes within a block, stored as one object that no row refers to yet."""

    number: int
    """Block number."""
    extent: Extent
    sequences: frozenset[int]
    """Sequence numbers of the writes that the bytes are from."""


class FileRows(NamedTuple):
    """A file's row and its version, and the rows of its blocks by number."""

    version: int
    file: FileRow
    blocks: dict[int, BlockRow]


class RowCache:
    """Rows by file.  They may be stale: a commit based on them then fails its check and is retried."""

    def __init__(self):
        self.rows: dict[BufferedFile, FileRows] = {}

    def remember_opened(self, file: BufferedFile, opened: FileView) -> None:
        """Stores the rows that an open handle has read, if they are newer."""
        known = self.rows.get(file)
        if known is None or known.version < opened.version:
            blocks = {
                number: BlockRow(block.version, block.extents) for number, block in opened.blocks.items()
            }
            self.rows[file] = FileRows(opened.version, opened.file, blocks)

    def remember(self, file: BufferedFile, rows: FileRows) -> None:
        """Stores rows that this edge has committed."""
        self.rows[file] = rows

    def forget(self, file: BufferedFile) -> None:
        """Drops a file's rows."""
        self.rows.pop(file, None)

    def forget_if_unused(self, file: BufferedFile) -> None:
        """Drops the rows of a file that has neither open handles nor buffered writes."""
        if not (file.is_open or file.dirty):
            self.forget(file)

    def expected_rows(self, runs: dict[BufferedFile, list[StoredRun]]) -> dict[BufferedFile, FileRows] | None:
        """The rows that a commit of these runs changes; None if one of them is unknown."""
        expected = {}
        for file, stored in runs.items():
            known = self.rows.get(file)
            if known is None or file.recovered:
                return None
            numbers = [run.number for run in stored]
            if any(_is_unknown(known, number) for number in numbers):
                return None
            blocks = {number: known.blocks.get(number, NO_BLOCK) for number in numbers}
            expected[file] = FileRows(known.version, known.file, blocks)
        return expected


def _is_unknown(known: FileRows, number: int) -> bool:
    """Whether a block may have a row that is not cached; there are none past the end of the file."""
    return number not in known.blocks and number * known.file.block_size < known.file.size
