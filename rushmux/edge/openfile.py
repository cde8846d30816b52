"""An open file: reads by its blocks' rows, writes as new objects that one change makes visible.

A WRITE is answered when its bytes lie whole on a node and the rows that name them are changed;
writes of one handle that come meanwhile go into the next change together.
"""

import asyncio
from collections import OrderedDict

from rushmux.edge.directories import Refused, Tree, contended
from rushmux.edge.operation_runner import CONFLICTS, Errand, Lost, together
from rushmux.files import layout
from rushmux.files.layout import Extent
from rushmux.sftp import packets as sftp

KEPT_BLOCKS = 64  # rows kept by a handle: 16 MiB of a file read in turn
BATCH = 32  # writes made visible by one change: a megabyte of a stock client's
LOST_AGAIN = 3  # fresh looks where a reader's objects were replaced under its hands


class Block:
    """A block's extents as this handle last read them."""

    __slots__ = ("extents", "read_at", "version")

    def __init__(self, extents, version, read_at):
        self.extents, self.version, self.read_at = extents, version, read_at


class Laid:
    """A write whose objects are stored and whose rows are not changed yet."""

    __slots__ = ("done", "end", "extents")

    def __init__(self, extents, end, done):
        self.extents, self.end, self.done = extents, end, done


async def gather(errand: Errand, length: int, parts) -> bytes:
    """`length` bytes put together from parts (where its block begins, extents, start, length in the block);
    what no extent covers is zeros.  Lost where an object is not there.
    """
    wanted = [
        (at + extent.start, extent)
        for at, extents, start, part in parts
        for extent in layout.within(extents, start, part)
    ]
    fetched = await together(
        *(errand.fetch(extent.cell, extent.object, extent.skip, extent.length) for _, extent in wanted)
    )
    if len(wanted) == 1 and wanted[0][1].length == length:
        return fetched[0]
    data = bytearray(length)
    for (at, extent), piece in zip(wanted, fetched):
        data[at : at + extent.length] = piece
    return bytes(data)


async def as_one(errand: Errand, extents) -> Extent:
    """A block in many pieces, written as one object."""
    end = max(extent.end for extent in extents)
    data = await gather(errand, end, [(0, extents, 0, end)])
    name, cell = await errand.store(data)
    return Extent(0, end, name, cell, 0)


class OpenFile:
    """One handle's view of a file.  What it read of names is used for `files.fresh` seconds."""

    def __init__(self, tree: Tree, path, found, flags, buffer=None):
        self.tree, self.path, self.folder = tree, path, path[0]
        self.number, self.flags = found.number, flags
        self.file, self.version, self.read_at = found.file, found.version, None
        self.blocks, self.pending, self.committing = OrderedDict(), [], None
        self.loop = asyncio.get_running_loop()
        self.read_at, self.buffer = self.loop.time(), buffer
        if buffer is not None:
            self.held = buffer.writes.file(self.folder, self.number, "/" + "/".join(path))
            self.held.open_handles += 1

    def release(self):
        """The handle is gone."""
        if self.buffer is not None:
            self.held.open_handles -= 1
            self.buffer.on_handle_closed(self.held)

    async def flush(self, errand):
        """Until all that was written by any handle of this edge is readable through any edge."""
        if self.buffer is not None:
            await self.buffer.flush(self.held, errand)

    async def load(self, errand: Errand, numbers, since):
        """Sees that the file's row and these blocks were read at `since` or later."""
        numbers = [
            number for number in numbers if number not in self.blocks or self.blocks[number].read_at < since
        ]
        if not numbers and self.read_at >= since:
            return None
        data, key, now = self.file.data, layout.file_key(self.number), self.loop.time()
        keys = [key] + [layout.block_key(data, number) for number in numbers]
        rows = {row.key: row for row in (await errand.look(self.number, keys=keys)).rows}
        if key not in rows:
            raise Refused(sftp.NO_SUCH_FILE, "the file was removed")
        file = layout.unpack_file(rows[key].value)
        if file.data != data:  # emptied by another: its blocks go by another name now
            self.blocks.clear()
            self.file, self.version, self.read_at = file, rows[key].version, now
            return await self.load(errand, numbers, since)
        if rows[key].version >= self.version:
            self.file, self.version, self.read_at = file, rows[key].version, now
        for number, block in zip(numbers, keys[1:]):
            row = rows.get(block)
            self.keep(
                number, Block(layout.unpack_block(row.value) if row else [], row.version if row else 0, now)
            )

    def keep(self, number, block):
        held = self.blocks.get(number)
        if held is None or block.version >= held.version or block.version == 0:
            self.blocks[number] = block
            self.blocks.move_to_end(number)
        while len(self.blocks) > KEPT_BLOCKS:
            self.blocks.popitem(last=False)

    async def read(self, errand: Errand, offset: int, length: int) -> bytes:
        """Bytes from `offset` on, fewer at the end of the file, none past it; holes read as zeros."""
        length = min(length, errand.driver.deployment.files.object_bytes)
        since = self.loop.time() - self.tree.files.fresh
        # Taken before the rows are read: what is written out meanwhile is in one of them at least.
        held, end = [], 0
        if self.buffer is not None:
            held, end = self.held.overlay(offset, offset + length), self.held.end
            since = max(since, self.held.committed_at)
        for _ in range(LOST_AGAIN):
            numbers = [number for number, _, _ in layout.pieces(offset, length, self.file.block)]
            await self.load(errand, numbers, since)
            length = max(0, min(length, max(self.file.size, end) - offset))
            parts = [
                (at, self.blocks[number].extents, start, part)
                for number, start, part in layout.pieces(offset, length, self.file.block)
                for at in [number * self.file.block - offset]
            ]
            try:
                return self.over(await gather(errand, length, parts), offset, held)
            except Lost:
                since = self.loop.time()
        raise Refused(sftp.FAILURE, "an object of this file is not on its node")

    @staticmethod
    def over(data, offset, held):
        """Lays what the buffer holds over what the nodes have."""
        if not held:
            return data
        data = bytearray(data)
        for piece in held:
            part = piece.data[: len(data) + offset - piece.start]
            data[piece.start - offset : piece.start - offset + len(part)] = part
        return bytes(data)

    async def store(self, errand, offset, data):
        pieces = list(layout.pieces(offset, len(data), self.file.block))
        at, cuts = 0, []
        for _, _, part in pieces:
            cuts.append(data[at : at + part])
            at += part
        stored = await together(*(errand.store(cut) for cut in cuts))
        return [
            (number, Extent(start, part, name, cell, 0))
            for (number, start, part), (name, cell) in zip(pieces, stored)
        ]

    async def write(self, errand: Errand, offset: int, data: bytes):
        """Writes bytes; returned when any edge can read them, or when the buffer holds them."""
        if self.flags & sftp.APPEND:
            return await self.append(errand, data)
        if offset + len(data) > layout.most_bytes(self.file.block):
            raise Refused(
                sftp.FAILURE, f"past the largest size of a file, {layout.most_bytes(self.file.block)}"
            )
        if self.buffer is not None and await self.buffer.write(self.held, errand, offset, data, self):
            return None
        laid = Laid(await self.store(errand, offset, data), offset + len(data), self.loop.create_future())
        self.pending.append(laid)
        try:
            while not laid.done.done():
                if self.committing is None:
                    await self.lead(errand)
                else:
                    await asyncio.wait((laid.done, self.committing), return_when=asyncio.FIRST_COMPLETED)
        finally:
            if laid in self.pending:
                self.pending.remove(laid)
        return laid.done.result()

    async def lead(self, errand):
        """Commits what waits, with this writer's time; the others' writes go on if it fails."""
        batch, self.pending = self.pending[:BATCH], self.pending[BATCH:]
        self.committing = self.loop.create_future()
        try:
            await self.commit(errand, batch)
        except Refused as fault:  # holds for all: the file is gone, or fought over
            for laid in batch:
                if not laid.done.done():
                    laid.done.set_exception(fault)
        except BaseException:
            self.pending = batch + self.pending
            raise
        else:
            for laid in batch:
                if not laid.done.done():
                    laid.done.set_result(None)
        finally:
            self.committing.set_result(None)
            self.committing = None

    async def commit(self, errand, batch, exact=None):
        """Changes the rows that make the writes visible.  `exact`: only over this version of the file;
        False where it has another.
        """
        numbers = list(dict.fromkeys(number for laid in batch for number, _ in laid.extents))
        since = self.loop.time() - self.tree.files.fresh
        for attempt in range(CONFLICTS):
            await errand.apart(attempt)
            await self.load(errand, numbers, since)
            if exact is not None and self.version != exact:
                return False
            # Danger: a file emptied after these bytes were stored must not get them back by accident; the
            # write is newer than what the client saw, so it goes into the file as it is now.
            file = self.file
            checks = [{"key": layout.file_key(self.number), "version": self.version}]
            puts, after, gone = [], {}, []
            for number in numbers:
                block = self.blocks[number]
                extents = block.extents
                for laid in batch:
                    for place, extent in laid.extents:
                        if place == number:
                            extents = layout.lay(extents, extent)
                if len(extents) > self.tree.files.extents:
                    try:
                        extents = [await as_one(errand, extents)]
                    except Lost:  # replaced under our hands: this version's check will not hold
                        break
                key = layout.block_key(file.data, number)
                checks.append({"key": key, "version": block.version})
                puts.append((key, layout.pack_block(extents)))
                after[number] = extents
                gone += layout.dropped(block.extents, extents)
            if len(after) < len(numbers):
                since = self.loop.time()
                continue
            file = file._replace(size=max([file.size] + [laid.end for laid in batch]), mtime=self.tree.wall())
            puts.insert(0, (layout.file_key(self.number), layout.pack_file(file)))
            if gone:
                puts.append(self.tree.doomed(objects=gone))
            rows = await errand.change(self.number, checks, puts)
            if rows is not None:
                now = self.loop.time()
                self.file, self.version, self.read_at = file, rows[0].version, now
                for number, row in zip(numbers, rows[1:]):
                    self.keep(number, Block(after[number], row.version, now))
                if gone:
                    self.tree.drop(self.folder)
                return True
            since = self.loop.time()
        raise contended("the file")

    async def append(self, errand, data):
        """Writes at the end, wherever that is by then: two edges that append lose nothing."""
        await self.flush(errand)
        for attempt in range(CONFLICTS):
            await errand.apart(attempt)
            await self.load(errand, (), self.loop.time())
            offset, version = self.file.size, self.version
            extents = await self.store(errand, offset, data)
            laid = Laid(extents, offset + len(data), None)
            if await self.commit(errand, [laid], version):
                return
        raise contended("the file")
