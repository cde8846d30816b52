"""What the edge does for each kind of request: a packet in, its reply packet out.

A handler raises an error (`edge.errors`, `files.paths.InvalidPathError`) where the request cannot be done;
the session makes a status of it.
"""

import asyncio
import struct
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from rushmux.edge.directories import PAGE_SIZE
from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_attributes import long_name, root_attributes, to_sftp
from rushmux.edge.handles import HandleTable, OpenDirectory
from rushmux.edge.openfile import OpenFile
from rushmux.edge.operation_runner import OperationRunner
from rushmux.files import layout, paths
from rushmux.files.layout import FileRow
from rushmux.files.paths import Names
from rushmux.sftp import packets as sftp

if TYPE_CHECKING:
    from rushmux.edge.edge import Edge

SPACE_BLOCK_BYTES = 4_096  # of a block as statvfs counts them
SPACE_FIELDS = struct.Struct(">11Q")
POSIX_RENAME, FSYNC, STATVFS = "posix-rename@openssh.com", "fsync@openssh.com", "statvfs@openssh.com"
BARRIER = "barrier@rushmux"
MAX_QUOTED_NAME = 64  # characters of an unknown extension's name that its status quotes
EXTENSIONS = ((POSIX_RENAME, b"1"), (FSYNC, b"1"), (STATVFS, b"2"), (BARRIER, b"1"))

RunnerFactory = Callable[[str], OperationRunner]
"""Makes the runner of a request's operations in a folder."""

Handler = Callable[[Any, RunnerFactory], Awaitable]
"""Takes a request's packet, and gives the packet of its reply."""


class Location(NamedTuple):
    """A folder and the names below it; ("", ()) is the root."""

    folder: str
    names: Names

    @property
    def path(self) -> Names:
        """The names from the root."""
        return (self.folder, *self.names)


def status(request_id: int, code: int = sftp.OK, text: str = "done") -> sftp.Status:
    """A status reply."""
    return sftp.Status(request_id, code, text, "en")


class RequestHandlers:
    """The handlers of one session's requests, by the type of the packet."""

    def __init__(self, edge: "Edge", handles: HandleTable):
        self.edge, self.handles, self.buffer = edge, handles, edge.buffer
        self.tree, self.attribute_editor = edge.directory_tree, edge.attribute_editor
        self.loop = asyncio.get_running_loop()
        self.by_packet_type = {
            sftp.Open: self._open,
            sftp.Close: self._close,
            sftp.Read: self._read,
            sftp.Write: self._write,
            sftp.LStat: self._stat,
            sftp.Stat: self._stat,
            sftp.FStat: self._handle_stat,
            sftp.SetStat: self._set_stat,
            sftp.FSetStat: self._handle_set_stat,
            sftp.OpenDir: self._open_directory,
            sftp.ReadDir: self._read_directory,
            sftp.Remove: self._remove_file,
            sftp.MkDir: self._make_directory,
            sftp.RmDir: self._remove_directory,
            sftp.RealPath: self._real_path,
            sftp.Rename: self._rename,
            sftp.Extended: self._extended,
        }
        self.by_extension = {
            POSIX_RENAME: self._posix_rename,
            FSYNC: self._fsync,
            STATVFS: self._statvfs,
            BARRIER: self._barrier,
        }

    def handler_for(self, packet) -> Handler:
        """What does a request and gives its reply; RequestRejectedError where there is none."""
        handler = self.by_packet_type.get(type(packet))
        if handler is None:
            raise RequestRejectedError(sftp.OP_UNSUPPORTED, f"requests of type {packet.code} are not offered")
        return handler

    # Paths.

    def _locate(self, path: str) -> Location:
        names = paths.split(path)
        if not names:
            return Location("", ())
        folder = names[0]
        if folder not in self.edge.deployment.folders:
            raise RequestRejectedError(sftp.NO_SUCH_FILE, f"there is no folder '{folder}'")
        if not self.edge.serves(folder):
            raise RequestRejectedError(
                sftp.PERMISSION_DENIED, f"folder '{folder}' is not served by this edge"
            )
        self.edge.garbage_collector.on_folder_used(folder)
        return Location(folder, names[1:])

    def _locate_inside(self, path: str) -> Location:
        """As `_locate`, for what must lie in a folder."""
        location = self._locate(path)
        if not location.names:
            raise RequestRejectedError(
                sftp.PERMISSION_DENIED, "folders are made and removed by the deployment file only"
            )
        return location

    # Files.

    async def _open(self, packet: sftp.Open, runner_for: RunnerFactory):
        self.handles.check_capacity()
        location = self._locate_inside(packet.path)
        if not packet.flags & (sftp.READ | sftp.WRITE):
            raise RequestRejectedError(sftp.BAD_MESSAGE, "a file is opened to read or to write")
        runner = runner_for(location.folder)
        if packet.flags & sftp.TRUNCATE:
            await self._flush_before_truncation(runner, location.names)
        found = await self.tree.open(runner, location.names, packet.flags, packet.attributes)
        self.handles.check_capacity()
        file = OpenFile(self.edge.file_system, location.path, found, packet.flags, self.buffer)
        return sftp.Handle(packet.request, self.handles.add(file))

    async def _flush_before_truncation(self, runner: OperationRunner, names: Names) -> None:
        """Writes out what the buffer holds of a file: it would come back after the truncation."""
        if self.buffer is None or not self.buffer.buffer.folder(runner.folder).bytes:
            return
        found = await self.tree.resolve(runner, names)
        buffered_file = self.buffer.buffer.known(runner.folder, found.file_id)
        if buffered_file is not None:
            await self.buffer.flush(buffered_file, runner)

    async def _close(self, packet: sftp.Close, runner_for: RunnerFactory):
        opened = self.handles.remove(packet.handle)
        if isinstance(opened, OpenFile):
            try:
                await opened.flush(runner_for(opened.folder))
            finally:
                opened.release()
        return status(packet.request)

    async def _read(self, packet: sftp.Read, runner_for: RunnerFactory):
        file = self.handles.file(packet.handle)
        if not file.flags & sftp.READ:
            raise RequestRejectedError(sftp.PERMISSION_DENIED, "the handle is not open to read")
        data = await file.read(runner_for(file.folder), packet.offset, packet.length)
        if packet.length and not data:
            return status(packet.request, sftp.EOF, "end of file")
        return sftp.Data(packet.request, data)

    async def _write(self, packet: sftp.Write, runner_for: RunnerFactory):
        file = self._writable_file(packet.handle)
        if packet.data:
            await file.write(runner_for(file.folder), packet.offset, packet.data)
        return status(packet.request)

    def _writable_file(self, handle: bytes) -> OpenFile:
        file = self.handles.file(handle)
        if not file.flags & sftp.WRITE:
            raise RequestRejectedError(sftp.PERMISSION_DENIED, "the handle is not open to write")
        return file

    async def _fsync(self, packet: sftp.Extended, fields: sftp.Cursor, runner_for: RunnerFactory):
        # Without a buffer, what was answered as written lies on nodes already.
        file = self.handles.file(fields.raw())
        await file.flush(runner_for(file.folder))
        return status(packet.request)

    async def _barrier(self, packet: sftp.Extended, fields: sftp.Cursor, runner_for: RunnerFactory):
        folder = self._locate(fields.text()).folder
        if not folder:
            raise RequestRejectedError(sftp.FAILURE, "a barrier is set over one folder")
        if self.buffer is not None:
            barrier = self.buffer.mark(folder)
            await self.buffer.past(folder, barrier, runner_for(folder))
        return status(packet.request)

    # Attributes.

    async def _stat(self, packet: sftp.Stat | sftp.LStat, runner_for: RunnerFactory):
        folder, names = self._locate(packet.path)
        if not names:
            return sftp.Attrs(packet.request, root_attributes())
        found = await self.tree.resolve_existing(runner_for(folder), names)
        return sftp.Attrs(packet.request, self._attributes(folder, found.file_id, found.file))

    def _attributes(self, folder: str, file_id: str, file: FileRow) -> sftp.Attributes:
        """Attributes with what the buffer holds past the end of the file."""
        buffered_file = self.buffer and self.buffer.buffer.known(folder, file_id)
        if buffered_file:
            file = file._replace(size=max(file.size, buffered_file.end))
        return to_sftp(file)

    async def _handle_stat(self, packet: sftp.FStat, runner_for: RunnerFactory):
        file = self.handles.file(packet.handle)
        await file.view.refresh(runner_for(file.folder), (), self.loop.time())
        return sftp.Attrs(packet.request, self._attributes(file.folder, file.file_id, file.view.file))

    async def _set_stat(self, packet: sftp.SetStat, runner_for: RunnerFactory):
        folder, names = self._locate_inside(packet.path)
        runner = runner_for(folder)
        if packet.attributes.size is not None:
            await self._flush_before_truncation(runner, names)
        found = await self.tree.resolve_existing(runner, names)
        await self.attribute_editor.set_attributes(runner, found.file_id, packet.attributes)
        return status(packet.request)

    async def _handle_set_stat(self, packet: sftp.FSetStat, runner_for: RunnerFactory):
        if packet.attributes.size is None:
            file = self.handles.file(packet.handle)
        else:
            file = self._writable_file(packet.handle)
        await file.flush(runner_for(file.folder))
        changed = await self.attribute_editor.set_attributes(
            runner_for(file.folder), file.file_id, packet.attributes
        )
        file.view.on_changed(changed.file, changed.version)
        return status(packet.request)

    async def _statvfs(self, packet: sftp.Extended, fields: sftp.Cursor, runner_for: RunnerFactory):
        """What the listed nodes have, in blocks."""
        self._locate(fields.text())
        disks = self.edge.driver.endpoint_table.disk_space.values()
        total = sum(disk.total for disk in disks) // SPACE_BLOCK_BYTES
        free = sum(disk.free for disk in disks) // SPACE_BLOCK_BYTES
        block = SPACE_BLOCK_BYTES
        space = SPACE_FIELDS.pack(block, block, total, free, free, 0, 0, 0, 0, 0, paths.MAX_NAME_BYTES)
        return sftp.ExtendedReply(packet.request, space)

    # Names.

    async def _open_directory(self, packet: sftp.OpenDir, runner_for: RunnerFactory):
        self.handles.check_capacity()
        location = self._locate(packet.path)
        if not location.folder:
            served = [name for name in self.edge.deployment.folders if self.edge.serves(name)]
            handle = self.handles.add(OpenDirectory((), "", layout.ROOT, served))
            return sftp.Handle(packet.request, handle)
        directory_id = layout.ROOT
        if location.names:
            found = await self.tree.resolve_existing(runner_for(location.folder), location.names)
            if not found.is_directory:
                raise RequestRejectedError(sftp.FAILURE, "/".join(location.names) + " is no directory")
            directory_id = found.file_id
        self.handles.check_capacity()
        handle = self.handles.add(OpenDirectory(location.path, location.folder, directory_id))
        return sftp.Handle(packet.request, handle)

    async def _read_directory(self, packet: sftp.ReadDir, runner_for: RunnerFactory):
        directory, rows = self.handles.directory(packet.handle), []
        while not rows:
            if directory.exhausted:
                return status(packet.request, sftp.EOF, "end of the listing")
            if directory.remaining_folders is not None:
                rows = self._next_folders(directory)
            else:
                rows = await self._next_entries(directory, runner_for(directory.folder))
        names = [sftp.Name(name, long_name(name, attributes), attributes) for name, attributes in rows]
        return sftp.Names(packet.request, names)

    @staticmethod
    def _next_folders(directory: OpenDirectory) -> list[tuple[str, sftp.Attributes]]:
        page = directory.remaining_folders[:PAGE_SIZE]
        directory.remaining_folders = directory.remaining_folders[PAGE_SIZE:]
        directory.exhausted = not directory.remaining_folders
        return [(name, root_attributes()) for name in page]

    async def _next_entries(
        self, directory: OpenDirectory, runner: OperationRunner
    ) -> list[tuple[str, sftp.Attributes]]:
        page = await self.tree.list_entries(runner, directory.directory_id, directory.next_key)
        directory.next_key = page.next_key
        directory.exhausted = not page.next_key
        return [
            (entry.name, self._attributes(directory.folder, entry.file_id, entry.file))
            for entry in page.entries
        ]

    async def _remove_file(self, packet: sftp.Remove, runner_for: RunnerFactory):
        folder, names = self._locate_inside(packet.path)
        await self.tree.remove_file(runner_for(folder), names)
        return status(packet.request)

    async def _make_directory(self, packet: sftp.MkDir, runner_for: RunnerFactory):
        folder, names = self._locate_inside(packet.path)
        await self.tree.make_directory(runner_for(folder), names, packet.attributes)
        return status(packet.request)

    async def _remove_directory(self, packet: sftp.RmDir, runner_for: RunnerFactory):
        folder, names = self._locate_inside(packet.path)
        await self.tree.remove_directory(runner_for(folder), names)
        return status(packet.request)

    async def _real_path(self, packet: sftp.RealPath, runner_for: RunnerFactory):
        path = "/" + "/".join(paths.split(packet.path))
        return sftp.Names(packet.request, [sftp.Name(path, path, sftp.Attributes())])

    async def _rename(self, packet: sftp.Rename, runner_for: RunnerFactory, replace: bool = False):
        source = self._locate_inside(packet.path)
        target = self._locate_inside(packet.target)
        if source.folder != target.folder:
            raise RequestRejectedError(sftp.PERMISSION_DENIED, "names do not move between folders")
        await self.tree.rename(runner_for(source.folder), source.names, target.names, replace)
        self.handles.on_renamed(source.path, target.path)
        return status(packet.request)

    async def _posix_rename(self, packet: sftp.Extended, fields: sftp.Cursor, runner_for: RunnerFactory):
        rename = sftp.Rename(packet.request, fields.text(), fields.text())
        return await self._rename(rename, runner_for, replace=True)

    # Extensions.

    async def _extended(self, packet: sftp.Extended, runner_for: RunnerFactory):
        handler = self.by_extension.get(packet.name)
        if handler is None:
            name = packet.name[:MAX_QUOTED_NAME]
            raise RequestRejectedError(sftp.OP_UNSUPPORTED, f"extension '{name}' is not offered")
        try:
            return await handler(packet, sftp.Cursor(memoryview(packet.data)), runner_for)
        except sftp.BadPacket as error:
            raise RequestRejectedError(sftp.BAD_MESSAGE, f"{packet.name}: {error}") from error
