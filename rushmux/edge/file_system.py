"""What all changes of files share, whatever makes them: settings, unique names, the clock, garbage."""

from collections.abc import Callable, Sequence

from rushmux.files import layout
from rushmux.files.layout import FileKind, FileRow
from rushmux.settings.deployment import FileSettings

PERMISSION_BITS = 0o7777


class FileSystem:
    """The files of all folders, as one edge makes and changes them.

    Attributes:
        settings: How files are cut.
        unique_name: Gives a name never used before.
        wall_clock: Returns whole seconds since 1970.
        schedule_collection: Called with each folder where a change made garbage.
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
        """Row of an empty file."""
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
        """Row of an empty directory."""
        now = self.wall_clock()
        return FileRow(FileKind.DIRECTORY, mode & PERMISSION_BITS, mtime=now, atime=now)

    def garbage_objects_row(self, objects: Sequence[tuple[int, str]]) -> tuple[str, bytes]:
        """Key and value of a row that has objects dropped, (cell, object) each."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_objects(objects)

    def garbage_data_row(self, data_id: str) -> tuple[str, bytes]:
        """Key and value of a row that has all objects of a file's data dropped."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_data(data_id)
