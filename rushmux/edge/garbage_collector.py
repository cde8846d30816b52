"""Drops objects that no name points at any more, one operation at a time behind all else.

What is to be dropped stands in rows of the folder's names, put there by the change that freed
it, so that any edge can go on where one was killed.
"""

import asyncio

import orjson

from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.edge.operation_runner import Errand
from rushmux.files import layout

DELAY = 2.0  # seconds: readers with older rows finish first
AGAIN = 5.0  # seconds until a folder is tried again after a shed
TIME = 10.0  # seconds for one operation
PAGE = 64  # rows and objects taken in hand at once
MOST_LEFT = 4_096  # left-over objects kept in mind; more wait for a scrubber


class Cleaner:
    """One worker of an edge.  `note` may be called at any time; it holds a folder once."""

    def __init__(self, driver, log):
        self.driver, self.log = driver, log
        self.folders, self.seen, self.changed = {}, {}, asyncio.Event()
        self.left, self.left_over = {}, 0  # folder -> (cell, object) of copies that no name points at
        driver.on_orphaned_object = self.leave

    def leave(self, folder: str, cell: int, name: str):
        """A write went to this cell too and another copy is the one that counts."""
        if self.left_over < MOST_LEFT:
            self.left_over += 1
            self.left.setdefault(folder, []).append((cell, name))
            self.note(folder)

    def note(self, folder: str):
        """A folder has something to drop."""
        self.folders[folder] = True
        self.changed.set()

    def met(self, folder: str):
        """A folder is used here: what a killed edge left there is looked for once."""
        if folder not in self.seen:
            self.seen[folder] = True
            self.note(folder)

    async def run(self):
        while True:
            await self.changed.wait()
            self.changed.clear()
            await asyncio.sleep(DELAY)
            again, folders, self.folders = [], self.folders, {}
            for folder in folders:
                try:
                    await self.clean(folder)
                except (OperationShedError, OperationFailedError):
                    again.append(folder)
                except Exception:  # pylint: disable=broad-except
                    self.log.exception("cleaner.fault", folder=folder)
            if again:
                await asyncio.sleep(AGAIN)
                for folder in again:
                    self.note(folder)

    def errand(self, folder):
        return Errand(self.driver, folder, "-", self.driver.loop.time() + TIME)

    async def clean(self, folder):
        # Danger: a copy that a node runs later than this stays; a drop of what is not there is harmless.
        left = self.left.pop(folder, [])
        self.left_over -= len(left)
        await self.objects(folder, left)
        while True:
            rows = (await self.errand(folder).look("x", after="x/", below="x0", most=PAGE)).rows
            for row in rows:
                what = orjson.loads(row.value)
                if "data" in what:
                    await self.blocks(folder, what["data"])
                await self.objects(folder, what.get("objects", ()))
                await self.errand(folder).change(row.key, [], [], [row.key])
            if len(rows) < PAGE:
                return

    async def blocks(self, folder, data):
        """Drops a file's objects and their rows, in pages."""
        after, below = layout.blocks_of(data)
        while True:
            rows = (await self.errand(folder).look(data, after=after, below=below, most=PAGE)).rows
            if not rows:
                return
            extents = [extent for row in rows for extent in layout.unpack_block(row.value)]
            await self.objects(folder, layout.dropped(extents, ()))
            await self.errand(folder).change(data, [], [], [row.key for row in rows])

    async def objects(self, folder, objects):
        cells = {}
        for cell, name in objects:
            cells.setdefault(cell, []).append(name)
        for cell, names in cells.items():
            for at in range(0, len(names), PAGE):
                await self.errand(folder).clean(cell, names[at : at + PAGE])
