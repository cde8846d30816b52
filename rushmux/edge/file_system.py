"""Settings, unique names, the clock and new rows, for all code that changes files."""

from collections.abc import Callable, Sequence

from rushmux.files import layout
from rushmux.files.layout import FileKind, FileRow
from rushmux.settings.deployment import FileSettings

PERMISSION_BITS = 0o7777


class FileSystem:
    """Creates rows of files.

    Attributes:
        settings: The deployment's settings for files.
        unique_name: Returns a name that was never used before.
        wall_clock: Returns whole seconds since 1970.
        schedule_collection: Called with each folder where a change left garbage.
        notes_versions: Whether rows note which versions their changes replaced.  An edge with a write-back
            buffer needs this to recover after a crash.
    """

    def __init__(
        self,
        settings: FileSettings,
        unique_name: Callable[[], str],
        wall_clock: Callable[[], int],
        schedule_collection: Callable[[str], None],
        notes_versions: bool,
    ):
        self.settings, self.unique_name, self.wall_clock = settings, unique_name, wall_clock
        self.schedule_collection = schedule_collection
        self.notes_versions = notes_versions

    def new_file(self, mode: int) -> FileRow:
        """Returns the row of a new empty file."""
        now, data_id = self.wall_clock(), self.unique_name()
        return FileRow(
            FileKind.FILE,
            mode & PERMISSION_BITS,
            mtime=now,
            atime=now,
            data_id=data_id,
            block_size=self.settings.object_bytes,
            cut_over=self.noted_version(0),
        )

    def new_directory(self, mode: int) -> FileRow:
        """Returns the row of a new empty directory."""
        now = self.wall_clock()
        return FileRow(FileKind.DIRECTORY, mode & PERMISSION_BITS, mtime=now, atime=now)

    def noted_version(self, version: int) -> int:
        """Returns what a row has to note for a change that replaces `version` of a file's row."""
        return version if self.notes_versions else layout.UNKNOWN_VERSION

    def written_file(self, file: FileRow, version: int, size: int, batch_stamp: str = "") -> FileRow:
        """Returns the row that replaces `version` after bytes were written or the file was extended.

        Without a stamp, an edge that recovers older buffered writes cannot take the change for its batch.
        """
        if file.cut_over == layout.UNKNOWN_VERSION:  # for all that is known, it was truncated just now
            file = file._replace(cut_over=self.noted_version(version))
        return file._replace(size=size, mtime=self.wall_clock(), batch_stamp=batch_stamp)

    def truncated_file(self, file: FileRow, version: int, size: int) -> FileRow:
        """Returns the row that replaces `version` after the file was truncated."""
        cut_over = self.noted_version(version)
        return file._replace(size=size, mtime=self.wall_clock(), batch_stamp="", cut_over=cut_over)

    def garbage_objects_row(self, objects: Sequence[tuple[int, str]]) -> tuple[str, bytes]:
        """Returns key and value of a garbage row for objects, each (cell, object)."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_objects(objects)

    def garbage_data_row(self, data_id: str) -> tuple[str, bytes]:
        """Returns key and value of a garbage row for all objects of a file's data."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_data(data_id)
