"""The last list that an edge was told, kept for a start with nobody to ask.

One file, replaced whole: a magic word, a format, a checksum, the calendar time, and the list as the wire
has it.  What cannot be read is as no list at all, and said so.
"""

import struct
import zlib
from collections.abc import Callable
from pathlib import Path

from rushmux import atomic_write
from rushmux.nodewire import messages

MAGIC, FORMAT = b"rmll", 1
HEAD = struct.Struct(">4sHId")  # magic, format, checksum of the rest, calendar seconds
MOST = 8 << 20  # bytes of a file: far above any list
OLD = 7 * 86_400.0  # seconds: an older list tells nothing of today's nodes


class LastList:
    """The file.  `calendar` gives seconds since 1970."""

    def __init__(self, path, calendar: Callable[[], float], log):
        self.path, self.calendar, self.log = Path(path), calendar, log
        self.cells, self.version, self.entries = 0, 0, {}

    def told(self, listing: messages.Listing):
        """Takes in a list or changes of it, and keeps the whole."""
        if listing.whole:
            self.entries = {}
        self.cells, self.version = listing.cells, listing.version
        for entry in listing.entries:
            self.entries.pop(entry.node, None)
            if entry.condition != "gone":
                self.entries[entry.node] = entry
        body = messages.Listing(
            version=self.version, whole=True, cells=self.cells, entries=self.entries.values()
        ).SerializeToString()
        now = self.calendar()
        head = HEAD.pack(MAGIC, FORMAT, zlib.crc32(struct.pack(">d", now) + body), now)
        try:
            atomic_write.whole(self.path, head + body)
        except OSError as fault:
            self.log.warning("lastlist.unkept", why=str(fault))

    def load(self) -> messages.Listing | None:
        """The last list with its nodes' ages as of now; None where there is none that can be used."""
        try:
            with open(self.path, "rb") as source:
                data = source.read(MOST + 1)
        except FileNotFoundError:
            return None
        except OSError as fault:
            self.log.warning("lastlist.unread", why=str(fault))
            return None
        listing = messages.Listing()
        try:
            magic, version, mark, at = HEAD.unpack_from(data)
            body = data[HEAD.size :]
            if magic != MAGIC or version != FORMAT or len(data) > MOST:
                raise ValueError(f"format {version}, this edge reads {FORMAT}")
            if zlib.crc32(struct.pack(">d", at) + body) != mark:
                raise ValueError("its checksum is wrong")
            listing.ParseFromString(body)
        except (struct.error, ValueError) as fault:
            self.log.warning("lastlist.unread", why=str(fault))
            return None
        except Exception as fault:  # pylint: disable=broad-except
            self.log.warning("lastlist.unread", why=f"{type(fault).__name__}: {fault}")
            return None
        age = self.calendar() - at
        if not 0 <= age <= OLD:
            self.log.warning("lastlist.old", age=round(age))
            return None
        for entry in listing.entries:
            entry.age += int(age * 10_000)
        self.cells, self.version = listing.cells, listing.version
        self.entries = {entry.node: entry for entry in listing.entries}
        self.log.info("lastlist.used", age=round(age, 1), nodes=len(listing.entries))
        return listing
