"""Handlers of requests on open files, and on attributes by path."""

import asyncio

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_attributes import root_attributes
from rushmux.edge.openfile import OpenFile
from rushmux.edge.operation_runner import OperationRunner
from rushmux.edge.request_context import RequestContext, RunnerFactory, status
from rushmux.files.paths import Names
from rushmux.sftp import packets as sftp


class FileRequests:
    """Opens, reads, writes and closes files, and gets and sets attributes."""

    def __init__(self, context: RequestContext):
        self.context, self.handles = context, context.handles
        self.edge, self.buffer = context.edge, context.buffer
        self.tree, self.attribute_editor = self.edge.directory_tree, self.edge.attribute_editor
        self.loop = asyncio.get_running_loop()

    async def open(self, packet: sftp.Open, runner_for: RunnerFactory) -> sftp.Handle:
        """Opens, creates or truncates a file according to the flags."""
        self.handles.check_capacity()
        location = self.context.locate_inside(packet.path)
        if not packet.flags & (sftp.READ | sftp.WRITE):
            raise RequestRejectedError(sftp.BAD_MESSAGE, "a file is opened to read or to write")
        runner = runner_for(location.folder)
        if packet.flags & sftp.TRUNCATE:
            await self._flush_before_truncation(runner, location.names)
        found = await self.tree.open(runner, location.names, packet.flags, packet.attributes)
        self.handles.check_capacity()
        file = OpenFile(self.edge.file_system, location.path, found, packet.flags, self.buffer)
        return sftp.Handle(packet.request_id, self.handles.add(file))

    async def _flush_before_truncation(self, runner: OperationRunner, names: Names) -> None:
        """Flushes buffered writes, which would otherwise be applied after the truncation."""
        if self.buffer is None or not self.buffer.writes.folder(runner.folder).byte_count:
            return
        found = await self.tree.resolve(runner, names)
        buffered_file = self.buffer.writes.find_file(runner.folder, found.file_id)
        if buffered_file is not None:
            await self.buffer.wait_until_flushed(buffered_file, runner)

    async def close(self, packet: sftp.Close, runner_for: RunnerFactory) -> sftp.Status:
        """Closes a handle; data written through it is then readable through any edge."""
        opened = self.handles.remove(packet.handle)
        if isinstance(opened, OpenFile):
            try:
                await opened.flush(runner_for(opened.folder))
            finally:
                opened.release()
        return status(packet.request_id)

    async def read(self, packet: sftp.Read, runner_for: RunnerFactory) -> sftp.Data | sftp.Status:
        """Reads a range of an open file."""
        file = self.handles.file(packet.handle)
        if not file.flags & sftp.READ:
            raise RequestRejectedError(sftp.PERMISSION_DENIED, "the handle is not open to read")
        data = await file.read(runner_for(file.folder), packet.offset, packet.length)
        if packet.length and not data:
            return status(packet.request_id, sftp.EOF, "end of file")
        return sftp.Data(packet.request_id, data)

    async def write(self, packet: sftp.Write, runner_for: RunnerFactory) -> sftp.Status:
        """Writes a range of an open file."""
        file = self._writable_file(packet.handle)
        if packet.data:
            await file.write(runner_for(file.folder), packet.offset, packet.data)
        return status(packet.request_id)

    def _writable_file(self, handle: bytes) -> OpenFile:
        file = self.handles.file(handle)
        if not file.flags & sftp.WRITE:
            raise RequestRejectedError(sftp.PERMISSION_DENIED, "the handle is not open to write")
        return file

    async def fsync(
        self, packet: sftp.Extended, fields: sftp.FieldReader, runner_for: RunnerFactory
    ) -> sftp.Status:
        """Waits until all data written to an open file is readable through any edge."""
        # Without a buffer, acknowledged writes are already stored on nodes.
        file = self.handles.file(fields.raw())
        await file.flush(runner_for(file.folder))
        return status(packet.request_id)

    async def stat(self, packet: sftp.Stat | sftp.LStat, runner_for: RunnerFactory) -> sftp.Attrs:
        """Returns the attributes of a path; there are no links to follow."""
        folder, names = self.context.locate(packet.path)
        if not names:
            return sftp.Attrs(packet.request_id, root_attributes())
        found = await self.tree.resolve_existing(runner_for(folder), names)
        return sftp.Attrs(packet.request_id, self.context.attributes(folder, found.file_id, found.file))

    async def handle_stat(self, packet: sftp.FStat, runner_for: RunnerFactory) -> sftp.Attrs:
        """Returns the current attributes of an open file."""
        file = self.handles.file(packet.handle)
        await file.view.refresh(runner_for(file.folder), (), self.loop.time())
        return sftp.Attrs(
            packet.request_id, self.context.attributes(file.folder, file.file_id, file.view.file)
        )

    async def set_stat(self, packet: sftp.SetStat, runner_for: RunnerFactory) -> sftp.Status:
        """Sets the attributes of a path."""
        folder, names = self.context.locate_inside(packet.path)
        runner = runner_for(folder)
        if packet.attributes.size is not None:
            await self._flush_before_truncation(runner, names)
        found = await self.tree.resolve_existing(runner, names)
        await self.attribute_editor.set_attributes(runner, found.file_id, packet.attributes)
        return status(packet.request_id)

    async def handle_set_stat(self, packet: sftp.FSetStat, runner_for: RunnerFactory) -> sftp.Status:
        """Sets the attributes of an open file."""
        if packet.attributes.size is None:
            file = self.handles.file(packet.handle)
        else:
            file = self._writable_file(packet.handle)
        await file.wait_until_flushed(runner_for(file.folder))
        changed = await self.attribute_editor.set_attributes(
            runner_for(file.folder), file.file_id, packet.attributes
        )
        file.view.on_changed(changed.file, changed.version)
        return status(packet.request_id)
