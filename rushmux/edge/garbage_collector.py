"""Drops objects that no name points at any more, one operation at a time and behind all other work.

What is to be dropped stands in rows of the folder's names, put there by the change that freed it, so that any
edge can continue where one was killed.
"""

import asyncio
from collections.abc import Iterable

from rushmux.edge.driver import EdgeDriver
from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.edge.operation_runner import NO_TAG, OperationRunner, RowChange
from rushmux.files import layout

DELAY = 2.0  # seconds: readers with older rows finish first
RETRY_DELAY = 5.0  # seconds until a folder is tried again after a shed
OPERATION_TIMEOUT = 10.0  # seconds
BATCH_SIZE = 64  # rows read and objects dropped at once
MAX_ORPHANS = 4_096  # orphaned objects remembered; more wait for a scrubber


class GarbageCollector:
    """The background worker of one edge."""

    def __init__(self, driver: EdgeDriver, log):
        self.driver, self.log = driver, log
        self.scheduled: dict[str, bool] = {}  # folders with something to drop, each once
        self.folders_seen: set[str] = set()
        self.wake = asyncio.Event()
        self.orphans: dict[str, list[tuple[int, str]]] = {}  # folder -> (cell, object)
        self.orphan_count = 0
        driver.on_orphaned_object = self.on_orphaned_object

    def on_orphaned_object(self, folder: str, cell: int, name: str) -> None:
        """A write went to this cell too, and another copy is the one that counts."""
        if self.orphan_count < MAX_ORPHANS:
            self.orphan_count += 1
            self.orphans.setdefault(folder, []).append((cell, name))
            self.schedule(folder)

    def schedule(self, folder: str) -> None:
        """A folder has something to drop; may be called at any time."""
        self.scheduled[folder] = True
        self.wake.set()

    def on_folder_used(self, folder: str) -> None:
        """A folder is used here: what a killed edge left there is looked for once."""
        if folder not in self.folders_seen:
            self.folders_seen.add(folder)
            self.schedule(folder)

    async def run(self) -> None:
        """Collects until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            await asyncio.sleep(DELAY)
            folders, self.scheduled = self.scheduled, {}
            retries = [folder for folder in folders if not await self._try_collect(folder)]
            if retries:
                await asyncio.sleep(RETRY_DELAY)
                for folder in retries:
                    self.schedule(folder)

    async def _try_collect(self, folder: str) -> bool:
        """Collects a folder; False: it is to be retried."""
        try:
            await self._collect(folder)
        except (OperationShedError, OperationFailedError):
            return False
        except Exception:  # whatever it is: the other folders go on
            self.log.exception("garbage_collector.fault", folder=folder)
        return True

    def _runner(self, folder: str) -> OperationRunner:
        deadline = self.driver.loop.time() + OPERATION_TIMEOUT
        return OperationRunner(self.driver, folder, NO_TAG, deadline)

    async def _collect(self, folder: str) -> None:
        # A copy that a node writes later than this stays; dropping what is not there is harmless.
        orphans = self.orphans.pop(folder, [])
        self.orphan_count -= len(orphans)
        await self._drop_objects(folder, orphans)
        after, below = layout.GARBAGE_KEYS
        while True:
            outcome = await self._runner(folder).read_rows("x", after=after, below=below, most=BATCH_SIZE)
            for row in outcome.rows:
                garbage = layout.unpack_garbage(row.value)
                if garbage.data_id:
                    await self._drop_blocks(folder, garbage.data_id)
                await self._drop_objects(folder, garbage.objects)
                await self._runner(folder).change_rows(row.key, RowChange(drops=[row.key]))
            if len(outcome.rows) < BATCH_SIZE:
                return

    async def _drop_blocks(self, folder: str, data_id: str) -> None:
        """Drops the objects of a file's blocks and the rows of these."""
        after, below = layout.block_keys(data_id)
        while True:
            outcome = await self._runner(folder).read_rows(data_id, after=after, below=below, most=BATCH_SIZE)
            if not outcome.rows:
                return
            extents = [extent for row in outcome.rows for extent in layout.unpack_block(row.value)]
            await self._drop_objects(folder, layout.unreferenced(extents, ()))
            await self._runner(folder).change_rows(
                data_id, RowChange(drops=[row.key for row in outcome.rows])
            )

    async def _drop_objects(self, folder: str, objects: Iterable[tuple[int, str]]) -> None:
        by_cell: dict[int, list[str]] = {}
        for cell, name in objects:
            by_cell.setdefault(cell, []).append(name)
        for cell, names in by_cell.items():
            for start in range(0, len(names), BATCH_SIZE):
                await self._runner(folder).drop_objects(cell, names[start : start + BATCH_SIZE])
