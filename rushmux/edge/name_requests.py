"""Handlers of requests on names: directories, removals and renames."""

from rushmux.edge.directories import PAGE_SIZE
from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_attributes import long_name, root_attributes
from rushmux.edge.handles import OpenDirectory
from rushmux.edge.operation_runner import OperationRunner
from rushmux.edge.request_context import RequestContext, RunnerFactory, status
from rushmux.files import layout, paths
from rushmux.sftp import packets as sftp


class NameRequests:
    """Lists, creates and removes directories; removes files; renames both."""

    def __init__(self, context: RequestContext):
        self.context, self.handles, self.edge = context, context.handles, context.edge
        self.tree = self.edge.directory_tree

    async def open_directory(self, packet: sftp.OpenDir, runner_for: RunnerFactory) -> sftp.Handle:
        """Opens a directory for listing."""
        self.handles.check_capacity()
        location = self.context.locate(packet.path)
        if not location.folder:
            served = [name for name in self.edge.deployment.folders if self.edge.serves(name)]
            handle = self.handles.add(OpenDirectory((), "", layout.ROOT, served))
            return sftp.Handle(packet.request_id, handle)
        directory_id = layout.ROOT
        if location.names:
            found = await self.tree.resolve_existing(runner_for(location.folder), location.names)
            if not found.is_directory:
                raise RequestRejectedError(sftp.FAILURE, "/".join(location.names) + " is no directory")
            directory_id = found.file_id
        self.handles.check_capacity()
        handle = self.handles.add(OpenDirectory(location.path, location.folder, directory_id))
        return sftp.Handle(packet.request_id, handle)

    async def read_directory(
        self, packet: sftp.ReadDir, runner_for: RunnerFactory
    ) -> sftp.Names | sftp.Status:
        """Returns the next entries of an open directory."""
        directory, rows = self.handles.directory(packet.handle), []
        while not rows:
            if directory.exhausted:
                return status(packet.request_id, sftp.EOF, "end of the listing")
            if directory.remaining_folders is not None:
                rows = self._next_folders(directory)
            else:
                rows = await self._next_entries(directory, runner_for(directory.folder))
        names = [sftp.Name(name, long_name(name, attributes), attributes) for name, attributes in rows]
        return sftp.Names(packet.request_id, names)

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
            (entry.name, self.context.attributes(directory.folder, entry.file_id, entry.file))
            for entry in page.entries
        ]

    async def remove_file(self, packet: sftp.Remove, runner_for: RunnerFactory) -> sftp.Status:
        """Removes a file."""
        folder, names = self.context.locate_inside(packet.path)
        await self.tree.remove_file(runner_for(folder), names)
        return status(packet.request_id)

    async def make_directory(self, packet: sftp.MkDir, runner_for: RunnerFactory) -> sftp.Status:
        """Creates a directory."""
        folder, names = self.context.locate_inside(packet.path)
        await self.tree.make_directory(runner_for(folder), names, packet.attributes)
        return status(packet.request_id)

    async def remove_directory(self, packet: sftp.RmDir, runner_for: RunnerFactory) -> sftp.Status:
        """Removes an empty directory."""
        folder, names = self.context.locate_inside(packet.path)
        await self.tree.remove_directory(runner_for(folder), names)
        return status(packet.request_id)

    async def real_path(self, packet: sftp.RealPath, runner_for: RunnerFactory) -> sftp.Names:
        """Normalizes a path without checking that it exists."""
        path = "/" + "/".join(paths.split(packet.path))
        return sftp.Names(packet.request_id, [sftp.Name(path, path, sftp.Attributes())])

    async def rename(
        self, packet: sftp.Rename, runner_for: RunnerFactory, replace: bool = False
    ) -> sftp.Status:
        """Moves a name within its folder."""
        source = self.context.locate_inside(packet.path)
        target = self.context.locate_inside(packet.target)
        if source.folder != target.folder:
            raise RequestRejectedError(sftp.PERMISSION_DENIED, "names do not move between folders")
        await self.tree.rename(runner_for(source.folder), source.names, target.names, replace)
        self.handles.on_renamed(source.path, target.path)
        return status(packet.request_id)

    async def posix_rename(
        self, packet: sftp.Extended, fields: sftp.FieldReader, runner_for: RunnerFactory
    ) -> sftp.Status:
        """Like `rename`, but may replace a file or an empty directory."""
        rename = sftp.Rename(packet.request_id, fields.text(), fields.text())
        return await self.rename(rename, runner_for, replace=True)
