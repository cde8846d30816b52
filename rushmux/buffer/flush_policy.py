"""What a write-back buffer decides; no I/O, no clock of its own.

A folder's packets lie in layers, one for each barrier met: no layer is written out before the one
below it is on nodes.  Within a layer a file's packets go together, in whole packets, so that no
reader elsewhere ever sees half of one.  Times are seconds of the caller's clock.
"""

from typing import NamedTuple

from rushmux.buffer.extents import Extents

TAKE, WAIT, REFUSE = "take", "wait", "refuse"

PRESSURE = 0.5  # of a cap: beyond it what lies longest goes out without regard to the budget
STALE = 0.3  # of the time that packets are kept: older ones that fail stop new ones
RETRY, MOST_RETRY = 0.1, 5.0  # seconds until a failed batch goes again, doubled each time up to the most
TIMES = 32  # batches whose time is remembered, to know whether a flush can still make it
SURE = 4  # of them before anything is concluded
BUDGET_SPAN = 1.0  # seconds of the background rate that a folder can save up


class Caps(NamedTuple):
    """Bounds of a buffer: bytes, seconds, counts."""

    edge_bytes: int = 64 << 20
    folder_bytes: int = 8 << 20
    age: float = 2.0  # a packet this old is written out, whatever the budget says
    keep: float = 30.0  # a packet that cannot be written out is given up after this
    idle: float = 0.3  # a file with nothing new for so long is written out
    batch_files: int = 64
    batch_bytes: int = 4 << 20
    out: int = 8  # batches out at a time, one for a folder
    background: float = 0.5  # part of a plan's nominal rate that unhurried write-out may take


class Layer:
    """A file's packets between two barriers; `out` are those of a batch on its way."""

    __slots__ = (
        "first_at",
        "first_number",
        "index",
        "last_number",
        "out",
        "out_first",
        "out_last",
        "out_packets",
        "packets",
    )

    def __init__(self):
        self.index, self.out, self.first_at = Extents(), None, None
        self.first_number = self.last_number = self.packets = 0
        self.out_first = self.out_last = self.out_packets = 0


class File:
    """A file with packets that are not on nodes, or with an error that is still to be told."""

    def __init__(self, folder, number, path):
        self.folder, self.number, self.path = folder, number, path
        self.layers = {}  # number of the barrier before it -> Layer
        self.error, self.last_at, self.wanted = None, 0.0, 0
        self.committed_at, self.opens = float("-inf"), 0
        self.version, self.stamp = 0, ""  # of the file's row when last seen here, and of the last change sent
        self.recovered = False  # what is held was found in the log of an earlier start

    @property
    def dirty(self):
        return bool(self.layers)

    @property
    def end(self):
        """One past the last byte held."""
        return max(
            (part.end for layer in self.layers.values() for part in (layer.out, layer.index) if part),
            default=0,
        )

    def overlay(self, start, end):
        """What is held of a stretch, older pieces before newer ones."""
        return [
            piece
            for barrier in sorted(self.layers)
            for part in (self.layers[barrier].out, self.layers[barrier].index)
            if part
            for piece in part.within(start, end)
        ]

    def last_number(self):
        """Of the newest packet held, 0 where none is."""
        return max((max(layer.last_number, layer.out_last) for layer in self.layers.values()), default=0)


class Folder:
    """A folder's files and its barriers."""

    def __init__(self, name, rate):
        self.name, self.rate = name, rate
        self.files, self.barrier, self.bytes = {}, 0, 0
        self.wanted_barrier = -1  # layers up to this one are waited for
        self.busy, self.failures, self.not_before = False, 0, 0.0
        self.level, self.level_at = rate * BUDGET_SPAN, 0.0

    def lowest(self) -> int | None:
        """The oldest layer that holds anything."""
        return min((barrier for file in self.files.values() for barrier in file.layers), default=None)


class Part(NamedTuple):
    """One file's share of a batch."""

    file: File
    index: Extents
    number: int  # of the newest packet in it


class Batch(NamedTuple):
    """What one change of rows is to make visible."""

    folder: Folder
    barrier: int
    parts: tuple[Part, ...]
    hurried: bool  # somebody waits for it
    begun: float
    oldest: float


class Buffer:
    """All that is held of one edge.  `rate(folder)` gives a plan's nominal units a second; `units(bytes)`
    what a write of so many bytes counts.
    """

    def __init__(self, caps: Caps, rate, units):
        self.caps, self.rate, self.units = caps, rate, units
        self.folders, self.bytes, self.count, self.out, self.times = {}, 0, 0, 0, []
        self.holding = {}  # folders that hold anything; the others cost nothing

    def folder(self, name) -> Folder:
        found = self.folders.get(name)
        if found is None:
            found = self.folders[name] = Folder(name, self.caps.background * self.rate(name))
        return found

    def file(self, folder, number, path="") -> File:
        """The file's state, made where there is none."""
        files = self.folder(folder).files
        found = files.get(number)
        if found is None:
            found = files[number] = File(folder, number, path)
        if path:
            found.path = path
        return found

    def known(self, folder, number) -> File | None:
        """The file's state where there is one."""
        held = self.folders.get(folder)
        return held and held.files.get(number)

    def close(self, file: File):
        """Forgets a file of which nothing is held, owed or open."""
        if not (file.dirty or file.error or file.opens):
            self.folder(file.folder).files.pop(file.number, None)

    # What comes in.

    def admit(self, folder: str, size: int, now: float) -> str:
        """Whether a packet is taken, has to wait, or can never be held."""
        held = self.folder(folder)
        if size > min(self.caps.folder_bytes, self.caps.edge_bytes):
            return REFUSE
        if self.bytes + size > self.caps.edge_bytes or held.bytes + size > self.caps.folder_bytes:
            return WAIT
        # Danger: what cannot get out grows old unseen while more is answered as written on top of it.
        if held.failures and now - self.oldest(held, now) > STALE * self.caps.keep:
            return WAIT
        return TAKE

    @staticmethod
    def oldest(folder: Folder, now: float) -> float:
        """When the packet that is held longest came."""
        return min(
            (
                layer.first_at
                for file in folder.files.values()
                for layer in file.layers.values()
                if layer.first_at is not None
            ),
            default=now,
        )

    def put(self, file: File, start: int, data, now: float) -> int:
        """Holds a packet; its number."""
        folder = self.folder(file.folder)
        layer = file.layers.get(folder.barrier)
        if layer is None:
            layer = file.layers[folder.barrier] = Layer()
        if layer.first_at is None:
            layer.first_at = now
        self.count += 1
        if not layer.packets:
            layer.first_number = self.count
        before = layer.index.bytes
        layer.index.put(start, data, self.count)
        self.account(folder, layer.index.bytes - before)
        layer.packets, layer.last_number, file.last_at = layer.packets + 1, self.count, now
        return self.count

    def account(self, folder, size):
        folder.bytes += size
        self.bytes += size
        if folder.bytes:
            self.holding[folder.name] = folder
        else:
            self.holding.pop(folder.name, None)

    def barrier(self, name: str) -> int:
        """Closes the folder's layer and has all up to it written out; its number."""
        folder = self.folder(name)
        folder.wanted_barrier = folder.barrier
        folder.barrier += 1
        return folder.wanted_barrier

    def want(self, file: File) -> int:
        """Has the file written out, and all layers below its newest one; the number to wait for."""
        folder = self.folder(file.folder)
        file.wanted = max(file.wanted, file.last_number())
        if file.layers:
            folder.wanted_barrier = max(folder.wanted_barrier, max(file.layers) - 1)
        return file.wanted

    @staticmethod
    def is_out(file: File, number: int) -> bool:
        """Whether the file's packets up to a number are on nodes (or given up, with an error told)."""
        return not any(
            (layer.out is not None and layer.out_first <= number)
            or (layer.packets and layer.first_number <= number)
            for layer in file.layers.values()
        )

    def is_past(self, name: str, barrier: int) -> bool:
        """Whether all layers up to a barrier are on nodes or given up."""
        lowest = self.folder(name).lowest()
        return lowest is None or lowest > barrier

    def can_make_it(self, left: float) -> bool:
        """Whether a flush with so many seconds left is worth beginning: half of the batches took less."""
        return len(self.times) < SURE or left >= sorted(self.times)[len(self.times) // 2]

    # What goes out.

    def level(self, folder: Folder, now: float) -> float:
        """Units of background write-out that the folder may begin now."""
        folder.level = min(folder.rate * BUDGET_SPAN, folder.level + folder.rate * (now - folder.level_at))
        folder.level_at = now
        return folder.level

    def due(self, folder: Folder, now: float):
        """Why the folder should be written out now: (rank, when to look again).  A lower rank goes
        first; None: not now.
        """
        lowest = folder.lowest()
        if lowest is None or folder.busy:
            return None, float("inf")
        if now < folder.not_before:
            return None, folder.not_before
        files = [file for file in folder.files.values() if lowest in file.layers]
        oldest = min(file.layers[lowest].first_at for file in files)
        if lowest <= folder.wanted_barrier or any(
            file.wanted >= file.layers[lowest].first_number for file in files if file.wanted
        ):
            return (0, oldest), now
        crowded = (
            folder.bytes > PRESSURE * self.caps.folder_bytes or self.bytes > PRESSURE * self.caps.edge_bytes
        )
        if crowded or now - oldest >= self.caps.age or folder.barrier > lowest:
            return (1, oldest), now
        quiet = max(file.last_at for file in files) + self.caps.idle
        if quiet <= now and self.level(folder, now) >= 1:
            return (2, oldest), now
        wait = (1 - folder.level) / folder.rate if folder.level < 1 else 0.0
        return None, min(oldest + self.caps.age, max(quiet, now + wait))

    def next(self, now: float) -> tuple[Batch | None, float]:
        """The batch to go next, or None and when to look again."""
        if self.out >= self.caps.out:
            return None, float("inf")
        best, again = None, float("inf")
        for folder in self.holding.values():
            rank, at = self.due(folder, now)
            again = min(again, at)
            if rank is not None and (best is None or rank < best[0]):
                best = rank, folder
        if best is None:
            return None, again
        return self.batch(best[1], best[0][0] == 0, now), now

    def batch(self, folder: Folder, hurried: bool, now: float) -> Batch:
        """Takes the oldest layer's files in hand: those waited for first, then the longest held."""
        lowest = folder.lowest()
        files = [file for file in folder.files.values() if lowest in file.layers]
        files.sort(key=lambda file: (not file.wanted, file.layers[lowest].first_at))
        parts, size, oldest = [], 0, now
        for file in files[: self.caps.batch_files]:
            layer = file.layers[lowest]
            if parts and size + layer.index.bytes > self.caps.batch_bytes:
                break
            size += layer.index.bytes
            oldest = min(oldest, layer.first_at)
            parts.append(Part(file, layer.index, layer.last_number))
            # The packets in hand are closed to newer ones, which go into an index of their own.
            layer.out, layer.out_packets = layer.index, layer.packets
            layer.out_first, layer.out_last = layer.first_number, layer.last_number
            layer.index, layer.packets = Extents(), 0
        folder.busy, self.out = True, self.out + 1
        folder.level -= self.units(size)
        return Batch(folder, lowest, tuple(parts), hurried, now, oldest)

    def over(self, batch: Batch, now: float):
        batch.folder.busy, self.out = False, self.out - 1

    def committed(self, batch: Batch, now: float, gone: dict):
        """The batch is on nodes and visible to all, but for files that are no more (file -> why)."""
        self.over(batch, now)
        batch.folder.failures = 0
        self.times = (self.times + [now - batch.begun])[-TIMES:]
        for part in batch.parts:
            layer = part.file.layers.get(batch.barrier)
            if layer is None:
                continue
            self.account(batch.folder, -layer.out.bytes)
            layer.out, layer.out_packets = None, 0
            layer.first_at = now if layer.packets else None
            part.file.committed_at = now
            if not layer.packets:
                del part.file.layers[batch.barrier]
            if part.file in gone:
                part.file.error = f"{part.file.path}: {gone[part.file]}"
                self.drop(part.file, batch.barrier, gone[part.file])
            self.settle(part.file)

    def settle(self, file):
        if not file.layers:
            file.wanted, file.recovered = 0, False
        self.close(file)

    def failed(self, batch: Batch, now: float, why: str):
        """The batch is not visible, or nobody knows.  It goes again later; what is too old is given up,
        with all layers above it.
        """
        self.over(batch, now)
        folder = batch.folder
        folder.failures += 1
        folder.not_before = now + min(MOST_RETRY, RETRY * 2 ** (folder.failures - 1))
        for part in batch.parts:
            layer = part.file.layers.get(batch.barrier)
            if layer is None:
                continue
            out, before = layer.out, layer.out.bytes + layer.index.bytes
            for piece in layer.index:
                out.put(piece.start, piece.data, piece.number)
            self.account(folder, out.bytes - before)
            layer.index, layer.out, layer.first_number = out, None, layer.out_first
            layer.packets, layer.out_packets = layer.packets + layer.out_packets, 0
        if now - batch.oldest >= self.caps.keep:
            self.give_up(folder, batch.barrier, why, [part.file for part in batch.parts])

    def give_up(self, folder: Folder, barrier: int, why: str, files):
        """Drops these files' packets of a layer, and all layers above it."""
        # Danger: a layer above one that was given up would come out of order across the barrier.
        for file in list(folder.files.values()):
            self.drop(file, barrier if file in files else barrier + 1, why)
            self.settle(file)

    def drop(self, file: File, barrier: int, why: str):
        """Drops what is held of a file from a layer on; its clients are told once."""
        for number in [number for number in file.layers if number >= barrier]:
            layer = file.layers.pop(number)
            self.account(self.folder(file.folder), -layer.index.bytes - (layer.out.bytes if layer.out else 0))
            file.error = f"{file.path}: {why}"

    def take_error(self, file: File) -> str | None:
        """What a client is still to be told, once."""
        error, file.error = file.error, None
        self.close(file)
        return error
