"""The handles of one session: open files and open directories."""

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.openfile import OpenFile
from rushmux.files.paths import Names
from rushmux.sftp import packets as sftp


class OpenDirectory:
    """One handle's position in a listing.

    Attributes:
        path: The directory's path from the root, as its names; a rename changes it.
        remaining_folders: Of the root, the folders that are still to be listed; None: it is not the root.
        next_key: The key to continue after ("": from the first).
        exhausted: Whether all was listed.
    """

    def __init__(
        self, path: Names, folder: str, directory_id: str, remaining_folders: list[str] | None = None
    ):
        self.path, self.folder, self.directory_id = path, folder, directory_id
        self.remaining_folders = remaining_folders
        self.next_key, self.exhausted = "", False


class HandleTable:
    """The open handles of a session, by the bytes that the client knows them by."""

    def __init__(self, session_name: str, max_handles: int):
        self.session_name, self.max_handles = session_name, max_handles
        self.by_id: dict[bytes, OpenFile | OpenDirectory] = {}
        self.opened = 0

    def check_capacity(self) -> None:
        """RequestRejectedError where no more handles may be opened."""
        if len(self.by_id) >= self.max_handles:
            raise RequestRejectedError(
                sftp.FAILURE, f"{self.max_handles} handles are open, the most of a session"
            )

    def add(self, opened: OpenFile | OpenDirectory) -> bytes:
        """Opens a handle."""
        self.opened += 1
        handle = f"{self.session_name}/{self.opened}".encode()
        self.by_id[handle] = opened
        return handle

    def get(self, handle: bytes | None) -> OpenFile | OpenDirectory | None:
        """What a handle has open, if anything."""
        return self.by_id.get(handle)

    def file(self, handle: bytes) -> OpenFile:
        """The open file of a handle; RequestRejectedError where it has none."""
        return self._require(handle, OpenFile)

    def directory(self, handle: bytes) -> OpenDirectory:
        """The open directory of a handle; RequestRejectedError where it has none."""
        return self._require(handle, OpenDirectory)

    def _require(self, handle: bytes, kind: type):
        opened = self.by_id.get(handle)
        if not isinstance(opened, kind):
            raise RequestRejectedError(sftp.FAILURE, "no such handle in this session")
        return opened

    def remove(self, handle: bytes) -> OpenFile | OpenDirectory:
        """Closes a handle; RequestRejectedError where it is not open."""
        opened = self._require(handle, (OpenFile, OpenDirectory))
        del self.by_id[handle]
        return opened

    def on_renamed(self, path: Names, target: Names) -> None:
        """A path was renamed: handles of it and below it follow."""
        for opened in self.by_id.values():
            if opened.path[: len(path)] == path:
                opened.path = target + opened.path[len(path) :]

    def release_all(self) -> None:
        """The session ended."""
        for opened in self.by_id.values():
            if isinstance(opened, OpenFile):
                opened.release()
