"""Path resolution and file attributes, for the handlers of one session's requests."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_attributes import to_sftp
from rushmux.edge.handles import HandleTable
from rushmux.edge.operation_runner import OperationRunner
from rushmux.files import paths
from rushmux.files.layout import FileRow
from rushmux.files.paths import Names
from rushmux.sftp import packets as sftp

if TYPE_CHECKING:
    from rushmux.edge.edge import Edge

RunnerFactory = Callable[[str], OperationRunner]
"""Creates the runner of a request's operations in a folder."""

Handler = Callable[[Any, RunnerFactory], Awaitable]
"""Takes a request's packet and returns its reply's packet."""


class Location(NamedTuple):
    """A folder and the names of a path below it; ("", ()) is the root."""

    folder: str
    names: Names

    @property
    def path(self) -> Names:
        """Names of the path from the root."""
        return (self.folder, *self.names)


def status(request_id: int, code: int = sftp.OK, text: str = "done") -> sftp.Status:
    """Builds a status reply."""
    return sftp.Status(request_id, code, text, "en")


class RequestContext:
    """A session's handles and its edge."""

    def __init__(self, edge: "Edge", handles: HandleTable):
        self.edge, self.handles, self.buffer = edge, handles, edge.buffer

    def locate(self, path: str) -> Location:
        """Resolves a path to a folder and the names below it.

        Raises:
            InvalidPathError: The path is not accepted.
            RequestRejectedError: The folder is unknown, or this edge does not serve it.
        """
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

    def locate_inside(self, path: str) -> Location:
        """Like `locate`, but rejects the root and the folders themselves."""
        location = self.locate(path)
        if not location.names:
            raise RequestRejectedError(
                sftp.PERMISSION_DENIED, "folders are made and removed by the deployment file only"
            )
        return location

    def attributes(self, folder: str, file_id: str, file: FileRow) -> sftp.Attributes:
        """Returns a file's attributes with the size including buffered writes."""
        buffered_file = self.buffer and self.buffer.writes.find_file(folder, file_id)
        if buffered_file:
            file = file._replace(size=max(file.size, buffered_file.end))
        return to_sftp(file)
