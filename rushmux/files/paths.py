"""Paths of clients: text to a folder and the names below it; no I/O."""

import hashlib

MOST_NAME = 255  # bytes of a name: what file systems of clients hold
MOST_DEPTH = 64  # names in a path: each is a row to read
MOST_PATH = 4_096  # bytes of a path


class BadPath(Exception):
    """A path that is not taken, in one plain sentence."""


def split(path: str) -> tuple[str, ...]:
    """The names of a path from the root, `.` and `..` resolved; BadPath for NUL, `..` above the
    root, or more than the bounds above.
    """
    if "\0" in path:
        raise BadPath("a path with a NUL")
    if len(path.encode()) > MOST_PATH:
        raise BadPath(f"a path of over {MOST_PATH} bytes")
    names = []
    for name in path.split("/"):
        if name == "..":
            # Danger: a client that climbs out of its folder; the root has nothing above it.
            if not names:
                raise BadPath("'..' leads above the root")
            names.pop()
        elif name not in ("", "."):
            if len(name.encode()) > MOST_NAME:
                raise BadPath(f"a name of over {MOST_NAME} bytes")
            names.append(name)
    if len(names) > MOST_DEPTH:
        raise BadPath(f"a path of over {MOST_DEPTH} names")
    return tuple(names)


def home(folder: str, cells: int) -> int:
    """The cell that holds a folder's names: the highest of a hash for each cell (rendezvous), so
    that it follows from the name and the number of cells alone and few folders move with it.
    """

    def weight(cell):
        return hashlib.blake2b(f"{cell}/{folder}".encode(), digest_size=8).digest()

    return max(range(cells), key=weight)
