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
        calendar: Gives whole seconds since 1970.
        schedule_collection: Called with each folder where a change made garbage.
    """

    def __init__(
        self,
        settings: FileSettings,
        unique_name: Callable[[], str],
        calendar: Callable[[], int],
        schedule_collection: Callable[[str], None],
    ):
        self.settings, self.unique_name, self.calendar = settings, unique_name, calendar
        self.schedule_collection = schedule_collection

    def new_file(self, mode: int) -> FileRow:
        """Row of an empty file."""
        now, data_id = self.calendar(), self.unique_name()
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
        now = self.calendar()
        return FileRow(FileKind.DIRECTORY, mode & PERMISSION_BITS, mtime=now, atime=now)

    def garbage_objects_row(self, objects: Sequence[tuple[int, str]]) -> tuple[str, bytes]:
        """Key and value of a row that has objects dropped, (cell, object) each."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_objects(objects)

    def garbage_data_row(self, data_id: str) -> tuple[str, bytes]:
        """Key and value of a row that has all objects of a file's data dropped."""
        return layout.garbage_key(self.unique_name()), layout.pack_garbage_data(data_id)
