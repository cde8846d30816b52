"""The change of rows that makes a batch visible; no I/O."""

from collections.abc import Sequence

from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.row_cache import BlockRow, FileRows
from rushmux.edge.operation_runner import RowChange, check_version
from rushmux.files import layout
from rushmux.files.layout import Extent
from rushmux.nodewire import messages


class BatchChange(RowChange):
    """A change of rows, and the contents of the changed files' rows."""

    def __init__(self):
        super().__init__()
        self.garbage: list[tuple[int, str]] = []  # objects no longer referenced by rows: (cell, object)
        self.files: dict[BufferedFile, layout.FileRow] = {}
        self.blocks: dict[BufferedFile, dict[int, list[Extent]]] = {}

    def put_file(self, file: BufferedFile, version: int, row: layout.FileRow) -> None:
        """Replaces the row of a file if it has this version."""
        self.files[file] = row
        self.blocks[file] = {}
        self._put(layout.file_key(file.file_id), version, layout.pack_file(row))

    def put_block(self, file: BufferedFile, number: int, before: BlockRow, extents: list[Extent]) -> None:
        """Replaces the row of a block; `put_file` must come first."""
        self.blocks[file][number] = extents
        key = layout.block_key(self.files[file].data_id, number)
        self._put(key, before.version, layout.pack_block(extents))
        self.garbage += layout.unreferenced(before.extents, extents)

    def _put(self, key: str, version: int, value: bytes) -> None:
        self.checks.append(check_version(key, version))
        self.puts.append((key, value))

    def committed_files(self, done: Sequence[messages.Row]) -> dict[BufferedFile, FileRows]:
        """The files' rows with their new versions; `done` has the order of `puts`."""
        versions = {key: row.version for (key, _), row in zip(self.puts, done, strict=False)}
        committed = {}
        for file, row in self.files.items():
            blocks = {
                number: BlockRow(versions[layout.block_key(row.data_id, number)], extents)
                for number, extents in self.blocks[file].items()
            }
            committed[file] = FileRows(versions[layout.file_key(file.file_id)], row, blocks)
        return committed
