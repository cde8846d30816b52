"""Replaces a file atomically: a kill at any moment leaves the old one or the new one."""

import os
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Replaces the file at `path`; OSError where that fails, and then the old one stands."""
    fresh = path.with_name(path.name + ".new")
    try:
        with fresh.open("wb") as sink:
            sink.write(data)
            sink.flush()
            os.fsync(sink.fileno())
        fresh.replace(path)
        # Without the folder's own sync a power loss may bring the old file back.
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError:
        fresh.unlink(missing_ok=True)
        raise
