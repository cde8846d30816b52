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
    """

    def __init__(
        self,
        settings: FileSettings,
        unique_name: Callable[[], str],
        wall_clock: Callable[[], int],
        schedule_collection: Callable[[str], None],
    ):
        self.settings, self.unique_name, self.wall_clock = settings, unique_name, wall_clock
        self.schedule_collection = schedule_collection

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
        )

    def new_directory(self, mode: int) -> FileRow:
        """Returns the row of a new empty directory."""
        now = self.wall_clock()
        return FileRow(FileKind.DIRECTORY, mode & PERMISSION_BITS, mtime=now, atime=now)

    def garbage_objects_row(self, objects: Sequence[tuple[int, str]]) -> tuple[str, bytes]:
        """Returns key and value of a garbage row for objects, each (cell, object)."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_objects(objects)

    def garbage_data_row(self, data_id: str) -> tuple[str, bytes]:
        """Returns key and value of a garbage row for all objects of a file's data."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_data(data_id)
