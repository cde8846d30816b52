"""Writes a file whole: a kill at any moment leaves the old one or the new one."""
import os
from pathlib import Path


def whole(path: Path, data: bytes):
    """Replaces the file at `path`; OSError where that fails, and then the old one stands."""
    fresh = path.with_name(path.name + ".new")
    try:
        with fresh.open("wb") as sink:
            sink.write(data)
            sink.flush()
            os.fsync(sink.fileno())
        fresh.replace(path)
    except OSError:
        fresh.unlink(missing_ok=True)
        raise
