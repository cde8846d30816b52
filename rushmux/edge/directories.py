"""Names of a folder's files and directories, stored as rows in the folder's home cell.

Every change checks the versions of the rows it is based on, so that concurrent changes by two edges are not
lost.  If a check fails, the change is retried a few times with fresh rows.
"""

from functools import partial
from typing import NamedTuple

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_system import FileSystem
from rushmux.edge.operation_runner import (
    OperationRunner,
    RowChange,
    check_empty,
    check_exists,
    check_version,
    retry_on_conflict,
)
from rushmux.files import layout
from rushmux.files.layout import ROOT, FileKind, FileRow
from rushmux.files.paths import Names
from rushmux.nodewire import messages
from rushmux.sftp import packets as sftp

PAGE_SIZE = 100  # entries in one READDIR reply: about 10 KiB
DEFAULT_FILE_MODE = 0o644  # for clients that send no mode
DEFAULT_DIRECTORY_MODE = 0o755


class ResolvedName(NamedTuple):
    """The rows that a name refers to, and their versions (0: no row)."""

    parent_id: str
    name: str
    file_id: str
    """Empty if nothing has the name."""
    file: FileRow | None
    entry_version: int = 0
    file_version: int = 0
    ancestor_checks: tuple[messages.Check, ...] = ()
    """Checks that the entries on the path to the parent are unchanged."""

    @property
    def is_directory(self) -> bool:
        """Whether the name refers to a directory."""
        return self.file is not None and self.file.kind is FileKind.DIRECTORY

    @property
    def entry_key(self) -> str:
        """Key of the entry, which may not exist."""
        return layout.entry_key(self.parent_id, self.name)

    def parent_checks(self) -> list[messages.Check]:
        """Checks that the parent exists; the root of a folder always does."""
        return [check_exists(layout.file_key(self.parent_id))] if self.parent_id != ROOT else []


class ListedEntry(NamedTuple):
    """One entry of a directory."""

    name: str
    file_id: str
    file: FileRow


class DirectoryPage(NamedTuple):
    """Entries of a directory, and the key to continue after (empty: no more)."""

    entries: list[ListedEntry]
    next_key: str


def _no_such_file(names: Names) -> RequestRejectedError:
    return RequestRejectedError(sftp.NO_SUCH_FILE, "/".join(names) + ": no such file")


def _rejected(names: Names, reason: str) -> RequestRejectedError:
    return RequestRejectedError(sftp.FAILURE, "/".join(names) + " " + reason)


class DirectoryTree:
    """Looks up and changes names in all folders.

    Changes raise ContentionError if every attempt conflicts with others.
    """

    def __init__(self, file_system: FileSystem):
        self.file_system = file_system

    async def resolve(self, runner: OperationRunner, names: Names) -> ResolvedName:
        """Looks up a path; its last name need not exist.

        Raises:
            RequestRejectedError: A directory on the path is missing or is a file.
        """
        if not names:
            return ResolvedName("", "", ROOT, FileRow(FileKind.DIRECTORY, DEFAULT_DIRECTORY_MODE))
        rows = (await runner.read_rows("/".join(names), path=names)).rows
        # The reply holds an entry row and a file row for each leading name that exists.
        parent_id, checks = ROOT, []
        for depth in range(len(names) - 1):
            if 2 * depth + 1 >= len(rows):
                raise _no_such_file(names)
            entry, file_row = rows[2 * depth], rows[2 * depth + 1]
            if layout.unpack_file(file_row.value).kind is not FileKind.DIRECTORY:
                path = "/".join(names[: depth + 1])
                raise RequestRejectedError(sftp.NO_SUCH_FILE, f"{path} is no directory")
            parent_id = layout.unpack_entry(entry.value).file_id
            checks.append(check_version(entry.key, entry.version))
        if 2 * len(names) > len(rows):
            return ResolvedName(parent_id, names[-1], "", None, ancestor_checks=tuple(checks))
        entry, file_row = rows[2 * len(names) - 2], rows[2 * len(names) - 1]
        return ResolvedName(
            parent_id,
            names[-1],
            layout.unpack_entry(entry.value).file_id,
            layout.unpack_file(file_row.value),
            entry.version,
            file_row.version,
            tuple(checks),
        )

    async def resolve_existing(self, runner: OperationRunner, names: Names) -> ResolvedName:
        """Like `resolve`, but raises RequestRejectedError if nothing has the name."""
        found = await self.resolve(runner, names)
        if found.file is None:
            raise _no_such_file(names)
        return found

    async def open(
        self, runner: OperationRunner, names: Names, flags: int, attributes: sftp.Attributes
    ) -> ResolvedName:
        """Looks up, creates or truncates a file according to the SFTP flags."""
        attempt = partial(self._try_open, runner, names, flags, attributes)
        return await retry_on_conflict(runner, "/".join(names), attempt)

    async def _try_open(
        self, runner: OperationRunner, names: Names, flags: int, attributes: sftp.Attributes
    ) -> ResolvedName | None:
        found = await self.resolve(runner, names)
        if found.file is None:
            if not flags & sftp.CREATE:
                raise _no_such_file(names)
            mode = DEFAULT_FILE_MODE if attributes.mode is None else attributes.mode
            return await self._create(runner, found, self.file_system.new_file(mode))
        if flags & sftp.CREATE and flags & sftp.EXCLUSIVE:
            raise _rejected(names, "exists")
        if found.is_directory:
            raise _rejected(names, "is a directory")
        if flags & sftp.TRUNCATE and found.file.size:
            return await self._truncate(runner, found)
        return found

    async def _create(
        self, runner: OperationRunner, found: ResolvedName, file: FileRow
    ) -> ResolvedName | None:
        """Creates a file or directory; returns None on a conflict."""
        file_id = self.file_system.unique_name()
        change = RowChange(
            checks=[*found.parent_checks(), check_version(found.entry_key, 0)],
            puts=[
                (found.entry_key, layout.pack_entry(file_id, file.kind)),
                (layout.file_key(file_id), layout.pack_file(file)),
            ],
        )
        rows = await runner.change_rows(f"{found.parent_id}/{found.name}", change)
        if rows is None:
            return None
        return found._replace(
            file_id=file_id, file=file, entry_version=rows[0].version, file_version=rows[1].version
        )

    async def _truncate(self, runner: OperationRunner, found: ResolvedName) -> ResolvedName | None:
        """Gives a file a new, empty data id; returns None on a conflict."""
        file_system = self.file_system
        file = file_system.truncated_file(found.file, found.file_version, 0)
        file = file._replace(data_id=file_system.unique_name())
        key = layout.file_key(found.file_id)
        change = RowChange(
            checks=[check_version(key, found.file_version)],
            puts=[(key, layout.pack_file(file)), file_system.garbage_data_row(found.file.data_id)],
        )
        rows = await runner.change_rows(found.file_id, change)
        if rows is None:
            return None
        file_system.schedule_collection(runner.folder)
        return found._replace(file=file, file_version=rows[0].version)

    async def make_directory(
        self, runner: OperationRunner, names: Names, attributes: sftp.Attributes
    ) -> None:
        """Creates an empty directory under an unused name."""
        mode = DEFAULT_DIRECTORY_MODE if attributes.mode is None else attributes.mode

        async def attempt():
            found = await self.resolve(runner, names)
            if found.file is not None:
                raise _rejected(names, "exists")
            return await self._create(runner, found, self.file_system.new_directory(mode))

        await retry_on_conflict(runner, "/".join(names), attempt)

    async def remove_file(self, runner: OperationRunner, names: Names) -> None:
        """Removes a file."""
        await retry_on_conflict(runner, "/".join(names), partial(self._try_remove_file, runner, names))

    async def _try_remove_file(self, runner: OperationRunner, names: Names) -> bool | None:
        found = await self.resolve_existing(runner, names)
        if found.is_directory:
            raise _rejected(names, "is a directory")
        change = self._removal(found)
        change.puts.append(self.file_system.garbage_data_row(found.file.data_id))
        if await runner.change_rows(found.file_id, change) is None:
            return None
        self.file_system.schedule_collection(runner.folder)
        return True

    async def remove_directory(self, runner: OperationRunner, names: Names) -> None:
        """Removes an empty directory."""
        attempt = partial(self._try_remove_directory, runner, names)
        await retry_on_conflict(runner, "/".join(names), attempt)

    async def _try_remove_directory(self, runner: OperationRunner, names: Names) -> bool | None:
        found = await self.resolve_existing(runner, names)
        if not found.is_directory:
            raise _rejected(names, "is no directory")
        keys = layout.entry_keys(found.file_id)
        outcome = await runner.read_rows(found.file_id, after=keys.after, below=keys.below, most=1)
        if outcome.rows:
            raise _rejected(names, "is not empty")
        change = self._removal(found)
        change.checks.append(check_empty(keys))
        return None if await runner.change_rows(found.file_id, change) is None else True

    @staticmethod
    def _removal(found: ResolvedName) -> RowChange:
        return RowChange(
            checks=[check_version(found.entry_key, found.entry_version)],
            drops=[found.entry_key, layout.file_key(found.file_id)],
        )

    async def rename(self, runner: OperationRunner, names: Names, target: Names, replace: bool) -> None:
        """Moves a name within the folder; with `replace`, atomically over a file or an empty directory."""
        attempt = partial(self._try_rename, runner, names, target, replace)
        await retry_on_conflict(runner, "/".join(names), attempt)

    async def _try_rename(
        self, runner: OperationRunner, names: Names, target: Names, replace: bool
    ) -> bool | None:
        source = await self.resolve_existing(runner, names)
        destination = await self.resolve(runner, target)
        if source.file_id == destination.file_id:
            return True
        if source.is_directory and target[: len(names)] == names:
            raise RequestRejectedError(sftp.FAILURE, "a directory cannot go below itself")
        change = self._move(source, destination)
        if destination.file is not None:
            if not replace:
                raise _rejected(target, "exists")
            self._add_replacement(change, source, destination)
        if await runner.change_rows(source.file_id, change) is None:
            return None
        if len(change.puts) > 1:  # the second one is a garbage row
            self.file_system.schedule_collection(runner.folder)
        return True

    @staticmethod
    def _move(source: ResolvedName, destination: ResolvedName) -> RowChange:
        change = RowChange(
            checks=[
                check_version(source.entry_key, source.entry_version),
                *destination.parent_checks(),
                check_version(destination.entry_key, destination.entry_version),
            ],
            puts=[(destination.entry_key, layout.pack_entry(source.file_id, source.file.kind))],
            drops=[source.entry_key],
        )
        if source.is_directory:
            # Concurrent moves on the destination path could otherwise put a directory below itself.
            change.checks += destination.ancestor_checks
        return change

    def _add_replacement(self, change: RowChange, source: ResolvedName, destination: ResolvedName) -> None:
        """Adds the removal of the destination to a change."""
        if destination.is_directory != source.is_directory:
            raise RequestRejectedError(sftp.FAILURE, "a directory and a file do not replace each other")
        change.drops.append(layout.file_key(destination.file_id))
        if destination.is_directory:
            change.checks.append(check_empty(layout.entry_keys(destination.file_id)))
        else:
            change.puts.append(self.file_system.garbage_data_row(destination.file.data_id))

    async def list_entries(self, runner: OperationRunner, directory_id: str, after: str) -> DirectoryPage:
        """Lists up to PAGE_SIZE entries after the key `after` (empty: from the first)."""
        keys = layout.entry_keys(directory_id)
        outcome = await runner.read_rows(
            directory_id, after=after or keys.after, below=keys.below, most=PAGE_SIZE
        )
        if not outcome.rows:
            return DirectoryPage([], "")
        file_ids = [layout.unpack_entry(row.value).file_id for row in outcome.rows]
        file_keys = [layout.file_key(file_id) for file_id in file_ids]
        file_rows = (await runner.read_rows(directory_id, keys=file_keys)).rows
        files = {row.key: layout.unpack_file(row.value) for row in file_rows}
        entries = [
            ListedEntry(row.key[len(keys.after) :], file_id, files[file_key])
            for row, file_id, file_key in zip(outcome.rows, file_ids, file_keys, strict=True)
            if file_key in files
        ]
        return DirectoryPage(entries, outcome.rows[-1].key if outcome.more else "")
