"""Determines what a request accesses, for `request_ordering`."""

import contextlib
from collections.abc import Iterable

from rushmux.edge.handles import HandleTable, OpenDirectory
from rushmux.edge.openfile import OpenFile
from rushmux.edge.request_ordering import Access, AccessKind
from rushmux.files import paths
from rushmux.files.paths import Names
from rushmux.sftp import packets as sftp

LOOKUPS = (sftp.Stat, sftp.LStat, sftp.OpenDir, sftp.RealPath)
MAX_EXTENDED_PATHS = 2  # as in a rename


def access_of(packet: tuple, handles: HandleTable) -> Access:
    """Returns what a request accesses; no paths if its path or handle is invalid."""
    opened = handles.get(getattr(packet, "handle", None))
    if opened is not None:
        return _access_by_handle(packet, opened)
    if type(packet) is sftp.Extended:
        return _access_of_extended(packet, handles)
    texts = [getattr(packet, field) for field in ("path", "target") if hasattr(packet, field)]
    is_lookup = type(packet) in LOOKUPS or (
        type(packet) is sftp.Open and not packet.flags & (sftp.CREATE | sftp.TRUNCATE)
    )
    return Access(AccessKind.LOOKUP if is_lookup else AccessKind.MODIFY, _valid_paths(texts))


def _access_by_handle(packet: tuple, opened: OpenFile | OpenDirectory) -> Access:
    kind, touched = type(packet), (opened.path,)
    if kind is sftp.Read:
        return Access(AccessKind.READ, touched, packet.offset, packet.offset + packet.length)
    appends = isinstance(opened, OpenFile) and opened.flags & sftp.APPEND
    if kind is sftp.Write and not appends:
        return Access(AccessKind.WRITE, touched, packet.offset, packet.offset + len(packet.data))
    return Access(AccessKind.LOOKUP if kind is sftp.FStat else AccessKind.MODIFY, touched)


def _access_of_extended(packet: sftp.Extended, handles: HandleTable) -> Access:
    # Each field may be a path, as in a rename, or a handle of this session.
    fields, texts = sftp.FieldReader(memoryview(packet.data)), []
    with contextlib.suppress(sftp.ProtocolError):
        while fields.has_more() and len(texts) < MAX_EXTENDED_PATHS:
            texts.append(fields.raw())
    opened = [handles.get(text) for text in texts]
    opened_paths = [each.path for each in opened if each is not None]
    named = _valid_paths(text.decode(errors="replace") for text in texts)
    return Access(AccessKind.MODIFY, (*opened_paths, *named))


def _valid_paths(texts: Iterable[str]) -> tuple[Names, ...]:
    found = []
    for text in texts:
        with contextlib.suppress(paths.InvalidPathError):
            found.append(paths.split(text))
    return tuple(found)
