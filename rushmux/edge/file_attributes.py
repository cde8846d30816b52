"""File attributes: conversion to SFTP, and changes requested by clients."""

import time
from functools import partial
from typing import NamedTuple

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_system import PERMISSION_BITS, FileSystem
from rushmux.edge.operation_runner import OperationRunner, RowChange, check_version, retry_on_conflict
from rushmux.files import layout
from rushmux.files.layout import FileKind, FileRow
from rushmux.sftp import packets as sftp

MAX_BLOCKS_PER_CHANGE = 256  # keeps a truncation step's message well below the frame size limit
ROOT_MODE = 0o755


class VersionedFile(NamedTuple):
    """The row of a file or directory, and its version."""

    file: FileRow
    version: int


def to_sftp(file: FileRow) -> sftp.Attributes:
    """Converts a file or directory row to SFTP attributes."""
    kind = sftp.DIRECTORY if file.kind is FileKind.DIRECTORY else sftp.REGULAR
    return sftp.Attributes(file.size, file.uid, file.gid, kind | file.mode, file.atime, file.mtime)


def root_attributes() -> sftp.Attributes:
    """Returns the SFTP attributes of the root and of each folder."""
    return sftp.Attributes(0, 0, 0, sftp.DIRECTORY | ROOT_MODE, 0, 0)


def long_name(name: str, attributes: sftp.Attributes) -> str:
    """Formats a line in the style of `ls -l`, which old clients display unchanged."""
    mode = attributes.mode or 0
    kind = "d" if mode & sftp.DIRECTORY == sftp.DIRECTORY else "-"
    permissions = "".join(
        letter if mode >> shift & 1 else "-"
        for letter, shift in zip("rwxrwxrwx", range(8, -1, -1), strict=True)
    )
    owner = f"{attributes.uid or 0:<8} {attributes.gid or 0:<8}"
    modified = time.strftime("%b %d  %Y", time.gmtime(attributes.mtime or 0))
    return f"{kind}{permissions}    1 {owner} {attributes.size or 0:8} {modified} {name}"


class AttributeEditor:
    """Sets attributes, including the size of files."""

    def __init__(self, file_system: FileSystem):
        self.file_system = file_system

    async def set_attributes(
        self, runner: OperationRunner, file_id: str, attributes: sftp.Attributes
    ) -> VersionedFile:
        """Sets the attributes that are not None.

        Raises:
            RequestRejectedError: The file was removed, or the size is not allowed.
            ContentionError: Concurrent changes made every attempt fail.
        """
        attempt = partial(self._try_set_attributes, runner, file_id, attributes)
        return await retry_on_conflict(runner, "the file", attempt)

    async def _try_set_attributes(
        self, runner: OperationRunner, file_id: str, attributes: sftp.Attributes
    ) -> VersionedFile | None:
        key = layout.file_key(file_id)
        rows = (await runner.read_rows(file_id, keys=[key])).rows
        if not rows:
            raise RequestRejectedError(sftp.NO_SUCH_FILE, "the file was removed")
        current = VersionedFile(layout.unpack_file(rows[0].value), rows[0].version)
        if attributes.size is not None and attributes.size != current.file.size:
            self._check_size(current.file, attributes.size)
            current = await self._resize(runner, file_id, current, attributes.size)
            if current is None:
                return None
        changed = _with_attributes(current.file, attributes)
        if changed == current.file:
            return current
        change = RowChange([check_version(key, current.version)], [(key, layout.pack_file(changed))])
        rows = await runner.change_rows(file_id, change)
        return None if rows is None else VersionedFile(changed, rows[0].version)

    @staticmethod
    def _check_size(file: FileRow, size: int) -> None:
        if file.kind is FileKind.DIRECTORY:
            raise RequestRejectedError(sftp.FAILURE, "a directory has no size")
        largest = layout.max_file_size(file.block_size)
        if size > largest:
            raise RequestRejectedError(sftp.FAILURE, f"a size of {size} is over {largest}")

    async def _resize(
        self, runner: OperationRunner, file_id: str, current: VersionedFile, size: int
    ) -> VersionedFile | None:
        """Sets a file's size; returns None if the file has changed.

        A large file is truncated in steps from its end; each is atomic and leaves a valid shorter file.
        """
        while True:
            current = await self._resize_step(runner, file_id, current, size)
            if current is None or current.file.size == size:
                return current

    async def _resize_step(
        self, runner: OperationRunner, file_id: str, current: VersionedFile, size: int
    ) -> VersionedFile | None:
        file, key, garbage = current.file, layout.file_key(file_id), []
        is_cut = size < file.size
        change = RowChange([check_version(key, current.version)])
        if is_cut:
            last_block = max(0, file.size - 1) // file.block_size
            first_block = max(size // file.block_size, last_block - MAX_BLOCKS_PER_CHANGE + 1)
            size = max(size, first_block * file.block_size)
            file = file._replace(size=size)
            garbage = await self._cut_blocks(runner, file_id, file, first_block, change)
        changed_file = self.file_system.truncated_file if is_cut else self.file_system.written_file
        file = changed_file(file, current.version, size)
        change.puts.insert(0, (key, layout.pack_file(file)))
        if garbage:
            change.puts.append(self.file_system.garbage_objects_row(garbage))
        rows = await runner.change_rows(file_id, change)
        if rows is None:
            return None
        if garbage:
            self.file_system.schedule_collection(runner.folder)
        return VersionedFile(file, rows[0].version)

    async def _cut_blocks(
        self,
        runner: OperationRunner,
        file_id: str,
        file: FileRow,
        first_block: int,
        change: RowChange,
    ) -> list[tuple[int, str]]:
        """Adds the truncation of blocks from `first_block` on to a change; returns the freed objects."""
        garbage = []
        keys = layout.block_keys(file.data_id, first_block)
        outcome = await runner.read_rows(
            file_id, after=keys.after, below=keys.below, most=MAX_BLOCKS_PER_CHANGE
        )
        for row in outcome.rows:
            extents = layout.unpack_block(row.value)
            start = layout.block_number(row.key) * file.block_size
            remaining = layout.truncate(extents, max(0, file.size - start))
            if remaining == extents:
                continue
            change.checks.append(check_version(row.key, row.version))
            garbage += layout.unreferenced(extents, remaining)
            if remaining:
                change.puts.append((row.key, layout.pack_block(remaining)))
            else:
                change.drops.append(row.key)
        return garbage


def _with_attributes(file: FileRow, attributes: sftp.Attributes) -> FileRow:
    mode = file.mode if attributes.mode is None else attributes.mode & PERMISSION_BITS
    return file._replace(
        mode=mode,
        uid=file.uid if attributes.uid is None else attributes.uid,
        gid=file.gid if attributes.gid is None else attributes.gid,
        mtime=file.mtime if attributes.mtime is None else attributes.mtime,
        atime=file.atime if attributes.atime is None else attributes.atime,
    )
