"""The last endpoint list that an edge received, cached on disk for a start while no planner is reachable.

The file holds a magic word, a format number, a checksum, the wall clock time and the list as a protobuf
message.  It is replaced atomically, and ignored if it cannot be read.
"""

import struct
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from google.protobuf.message import DecodeError

from rushmux import atomic_write
from rushmux.edge.errors import EdgeError
from rushmux.nodewire import messages
from rushmux.scheduling.interface import EndpointState

MAGIC, FORMAT = b"rmll", 1
HEADER = struct.Struct(">4sHId")  # magic, format, checksum of the rest, seconds since 1970
SAVED_AT = struct.Struct(">d")
MAX_FILE_BYTES = 8 << 20  # far larger than any list
MAX_AGE = 7 * 86_400.0  # seconds; nodes may all have changed since an older list
MAX_CLOCK_STEP = 3_600.0  # seconds by which the wall clock may be stepped


class EndpointCacheError(EdgeError):
    """The cached list cannot be used.

    Attributes:
        path: The file.
    """

    def __init__(self, path: Path, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path


class CachedListing(NamedTuple):
    """A cached list, and when it was saved, in seconds since 1970."""

    listing: messages.Listing
    saved_at: float


class EndpointCache:
    """Reads and updates the cache file.

    Attributes:
        path: The file; the constructor does not open it.
        wall_clock: Returns seconds since 1970.
    """

    def __init__(self, path: str | Path, wall_clock: Callable[[], float], log):
        self.path, self.wall_clock, self.log = Path(path), wall_clock, log
        self.cell_count, self.version = 0, 0
        self.entries: dict[str, messages.Entry] = {}

    def update(self, listing: messages.Listing) -> None:
        """Applies a snapshot or a delta, and writes the whole list."""
        if listing.whole:
            self.entries = {}
        self.cell_count, self.version = listing.cells, listing.version
        for entry in listing.entries:
            self.entries.pop(entry.node, None)
            if entry.condition != EndpointState.REMOVED:
                self.entries[entry.node] = entry
        try:
            atomic_write.replace_file(self.path, self._encode(self.wall_clock()))
        except OSError as error:
            self.log.warning("endpoint_cache.write_failed", reason=str(error))

    def _encode(self, saved_at: float) -> bytes:
        body = messages.Listing(
            version=self.version, whole=True, cells=self.cell_count, entries=self.entries.values()
        ).SerializeToString()
        checksum = zlib.crc32(SAVED_AT.pack(saved_at) + body)
        return HEADER.pack(MAGIC, FORMAT, checksum, saved_at) + body

    def load(self) -> messages.Listing | None:
        """Reads the cached list; None: there is no usable list.

        The nodes' ages are those of the last update.  The time since is not added, since the wall clock may
        have been stepped: a cold node that counts as warm would be pushed over.
        """
        try:
            cached = self._read()
        except FileNotFoundError:
            return None
        except (OSError, EndpointCacheError) as error:
            self.log.warning("endpoint_cache.read_failed", reason=str(error))
            return None
        listing, age = cached.listing, self.wall_clock() - cached.saved_at
        if not -MAX_CLOCK_STEP <= age <= MAX_AGE:
            self.log.warning("endpoint_cache.expired", age=round(age))
            return None
        self.cell_count, self.version = listing.cells, listing.version
        self.entries = {entry.node: entry for entry in listing.entries}
        self.log.info("endpoint_cache.loaded", age=round(age, 1), nodes=len(listing.entries))
        return listing

    def _read(self) -> CachedListing:
        with open(self.path, "rb") as source:
            data = source.read(MAX_FILE_BYTES + 1)
        try:
            magic, file_format, checksum, saved_at = HEADER.unpack_from(data)
        except struct.error as error:
            raise EndpointCacheError(self.path, f"header cannot be read: {error}") from error
        body = data[HEADER.size :]
        if magic != MAGIC or file_format != FORMAT or len(data) > MAX_FILE_BYTES:
            raise EndpointCacheError(self.path, f"format {file_format}, this edge reads {FORMAT}")
        if zlib.crc32(SAVED_AT.pack(saved_at) + body) != checksum:
            raise EndpointCacheError(self.path, "checksum mismatch")
        listing = messages.Listing()
        try:
            listing.ParseFromString(body)
        except DecodeError as error:
            raise EndpointCacheError(self.path, f"not an endpoint list: {error}") from error
        return CachedListing(listing, saved_at)
