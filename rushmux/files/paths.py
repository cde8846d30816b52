"""Paths of clients: text to a folder and the names below it, and the cell of a folder; no I/O."""

import hashlib

MAX_NAME_BYTES = 255  # of a name: what file systems of clients hold
MAX_DEPTH = 64  # names in a path: each is a row to read
MAX_PATH_BYTES = 4_096

Names = tuple[str, ...]
"""A path as its names, from the root or from a folder."""


class InvalidPathError(Exception):
    """A path that is not accepted, in one plain sentence.

    Attributes:
        path: The path.
    """

    def __init__(self, path: str, reason: str):
        super().__init__(reason)
        self.path = path


def split(path: str) -> Names:
    """The names of a path from the root, with `.` and `..` resolved.

    Raises:
        InvalidPathError: It holds a NUL, leads above the root, or is longer or deeper than the bounds above.
    """
    if "\0" in path:
        raise InvalidPathError(path, "a path with a NUL")
    if len(path.encode()) > MAX_PATH_BYTES:
        raise InvalidPathError(path, f"a path of over {MAX_PATH_BYTES} bytes")
    names = []
    for name in path.split("/"):
        if name == "..":
            if not names:  # a client must not climb out of its folder
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
    """The cell that holds a folder's names: the highest of a hash for each cell (rendezvous hashing).

    It follows from the name and the number of cells alone, and few folders move when that number changes.
    """

    def weight(cell):
        return hashlib.blake2b(f"{cell}/{folder}".encode(), digest_size=8).digest()

    return max(range(cell_count), key=weight)
