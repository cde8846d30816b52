"""Dispatches each request packet to its handler, which returns the reply packet.

The session converts a handler's errors (`edge.errors`, `files.paths.InvalidPathError`) to status replies.
"""

import struct
from typing import TYPE_CHECKING

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_requests import FileRequests
from rushmux.edge.handles import HandleTable
from rushmux.edge.name_requests import NameRequests
from rushmux.edge.request_context import Handler, RequestContext, RunnerFactory, status
from rushmux.files import paths
from rushmux.sftp import packets as sftp

if TYPE_CHECKING:
    from rushmux.edge.edge import Edge

SPACE_BLOCK_BYTES = 4_096  # block size in statvfs replies
SPACE_FIELDS = struct.Struct(">11Q")
POSIX_RENAME, FSYNC, STATVFS = "posix-rename@openssh.com", "fsync@openssh.com", "statvfs@openssh.com"
BARRIER = "barrier@rushmux"
MAX_QUOTED_NAME = 64  # characters of an unknown extension's name that are quoted in the status
EXTENSIONS = ((POSIX_RENAME, b"1"), (FSYNC, b"1"), (STATVFS, b"2"), (BARRIER, b"1"))


class RequestHandlers:
    """The handlers of one session's requests, by packet type."""

    def __init__(self, edge: "Edge", handles: HandleTable):
        self.edge, self.buffer = edge, edge.buffer
        self.context = RequestContext(edge, handles)
        files, names = FileRequests(self.context), NameRequests(self.context)
        self.by_packet_type: dict[type, Handler] = {
            sftp.Open: files.open,
            sftp.Close: files.close,
            sftp.Read: files.read,
            sftp.Write: files.write,
            sftp.LStat: files.stat,
            sftp.Stat: files.stat,
            sftp.FStat: files.handle_stat,
            sftp.SetStat: files.set_stat,
            sftp.FSetStat: files.handle_set_stat,
            sftp.OpenDir: names.open_directory,
            sftp.ReadDir: names.read_directory,
            sftp.Remove: names.remove_file,
            sftp.MkDir: names.make_directory,
            sftp.RmDir: names.remove_directory,
            sftp.RealPath: names.real_path,
            sftp.Rename: names.rename,
            sftp.Extended: self._extended,
        }
        self.by_extension = {
            POSIX_RENAME: names.posix_rename,
            FSYNC: files.fsync,
            STATVFS: self._statvfs,
            BARRIER: self._barrier,
        }

    def handler_for(self, packet: tuple) -> Handler:
        """Returns the handler of a request; raises RequestRejectedError if there is none."""
        handler = self.by_packet_type.get(type(packet))
        if handler is None:
            raise RequestRejectedError(
                sftp.OP_UNSUPPORTED, f"requests of type {packet.type_byte} are not offered"
            )
        return handler

    async def _extended(self, packet: sftp.Extended, runner_for: RunnerFactory) -> tuple:
        handler = self.by_extension.get(packet.name)
        if handler is None:
            name = packet.name[:MAX_QUOTED_NAME]
            raise RequestRejectedError(sftp.OP_UNSUPPORTED, f"extension '{name}' is not offered")
        try:
            return await handler(packet, sftp.FieldReader(memoryview(packet.data)), runner_for)
        except sftp.ProtocolError as error:
            raise RequestRejectedError(sftp.BAD_MESSAGE, f"{packet.name}: {error}") from error

    async def _barrier(
        self, packet: sftp.Extended, fields: sftp.FieldReader, runner_for: RunnerFactory
    ) -> sftp.Status:
        folder = self.context.locate(fields.text()).folder
        if not folder:
            raise RequestRejectedError(sftp.FAILURE, "a barrier is set over one folder")
        if self.buffer is not None:
            barrier = self.buffer.set_barrier(folder)
            handles = self.context.handles.open_files(folder)
            await self.buffer.wait_for_barrier(folder, barrier, runner_for(folder), handles)
        return status(packet.request_id)

    async def _statvfs(
        self, packet: sftp.Extended, fields: sftp.FieldReader, runner_for: RunnerFactory
    ) -> sftp.ExtendedReply:
        """Returns the total and free space of all listed nodes, in blocks."""
        self.context.locate(fields.text())
        disks = self.edge.driver.endpoint_table.disk_space.values()
        total = sum(disk.total for disk in disks) // SPACE_BLOCK_BYTES
        free = sum(disk.free for disk in disks) // SPACE_BLOCK_BYTES
        block = SPACE_BLOCK_BYTES
        space = SPACE_FIELDS.pack(block, block, total, free, free, 0, 0, 0, 0, 0, paths.MAX_NAME_BYTES)
        return sftp.ExtendedReply(packet.request_id, space)
