"""Replaces a file atomically: a crash at any moment leaves either the old or the new contents."""

import os
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Replaces the file at `path`.

    Raises:
        OSError: The file was not replaced, or was replaced but its folder could not be synced.
    """
    temporary = path.with_name(path.name + ".new")
    try:
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        # Unless the folder is synced too, a power loss may bring the old file back.
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
