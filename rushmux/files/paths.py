"""Parses client paths and determines the home cell of a folder; no I/O."""

import hashlib

MAX_NAME_BYTES = 255  # the limit of common client file systems
MAX_DEPTH = 64  # names in a path; each costs reading its rows
MAX_PATH_BYTES = 4_096

Names = tuple[str, ...]
"""The names of a path, from the root or from a folder."""


class InvalidPathError(Exception):
    """A path is not accepted; the text says why.

    Attributes:
        path: The path.
    """

    def __init__(self, path: str, reason: str):
        super().__init__(reason)
        self.path = path


def split(path: str) -> Names:
    """Splits a path from the root into names, with `.` and `..` resolved.

    Raises:
        InvalidPathError: The path contains NUL, leads above the root, or exceeds one of the limits above.
    """
    if "\0" in path:
        raise InvalidPathError(path, "a path with a NUL")
    if len(path.encode()) > MAX_PATH_BYTES:
        raise InvalidPathError(path, f"a path of over {MAX_PATH_BYTES} bytes")
    names = []
    for name in path.split("/"):
        if name == "..":
            if not names:  # clients must not escape their folders
                raise InvalidPathError(path, "'..' leads above the root")
            names.pop()
        elif name not in ("", "."):
            if len(name.encode()) > MAX_NAME_BYTES:
                raise InvalidPathError(path, f"a name of over {MAX_NAME_BYTES} bytes")
            names.append(name)
    if len(names) > MAX_DEPTH:
        raise InvalidPathError(path, f"a path of over {MAX_DEPTH} names")
    return tuple(names)


def home_cell(folder: str, cell_count: int) -> int:
    """Returns the cell that stores a folder's rows, by rendezvous hashing.

    It depends only on the folder's name and the number of cells; few folders move when that number changes.
    """

    def weight(cell):
        return hashlib.blake2b(f"{cell}/{folder}".encode(), digest_size=8).digest()

    return max(range(cell_count), key=weight)
