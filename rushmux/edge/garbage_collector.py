"""Drops objects that no row refers to any more, one operation at a time in the background.

The change that frees objects records them in garbage rows of the folder, so that any edge can finish the work
of one that was killed.
"""

import asyncio
from collections.abc import Iterable

from rushmux.edge.driver import EdgeDriver
from rushmux.edge.errors import OperationFailedError, OperationShedError
from rushmux.edge.operation_runner import BACKGROUND_TAG, OperationRunner, RowChange
from rushmux.files import layout

DELAY = 2.0  # seconds; lets readers that use older rows finish
RETRY_DELAY = 5.0  # seconds until a folder is retried after an operation was shed or failed
OPERATION_TIMEOUT = 10.0  # seconds
BATCH_SIZE = 64  # rows read, or objects dropped, in one operation
MAX_ORPHANS = 4_096  # orphans remembered; further ones stay on the nodes


class GarbageCollector:
    """The background garbage collector of one edge."""

    def __init__(self, driver: EdgeDriver, log):
        self.driver, self.log = driver, log
        self.scheduled: dict[str, bool] = {}  # folders to collect, in order
        self.folders_seen: set[str] = set()
        self.wake = asyncio.Event()
        self.orphans: dict[str, list[tuple[int, str]]] = {}  # folder -> (cell, object)
        self.orphan_count = 0
        driver.on_orphaned_object = self.on_orphaned_object

    def on_orphaned_object(self, folder: str, cell: int, name: str) -> None:
        """Records a redundant copy, left by a repeated write attempt."""
        if self.orphan_count < MAX_ORPHANS:
            self.orphan_count += 1
            self.orphans.setdefault(folder, []).append((cell, name))
            self.schedule(folder)

    def schedule(self, folder: str) -> None:
        """Schedules a folder for collection."""
        self.scheduled[folder] = True
        self.wake.set()

    def on_folder_used(self, folder: str) -> None:
        """Schedules a folder on its first use, in case a killed edge left garbage there."""
        if folder not in self.folders_seen:
            self.folders_seen.add(folder)
            self.schedule(folder)

    async def run(self) -> None:
        """Collects scheduled folders until cancelled."""
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
        """Collects a folder; returns False if it must be retried."""
        try:
            await self._collect(folder)
        except (OperationShedError, OperationFailedError):
            return False
        except Exception:  # must not stop the collection of other folders
            self.log.exception("garbage_collector.fault", folder=folder)
        return True

    def _runner(self, folder: str) -> OperationRunner:
        deadline = self.driver.loop.time() + OPERATION_TIMEOUT
        return OperationRunner(self.driver, folder, BACKGROUND_TAG, deadline)

    async def _collect(self, folder: str) -> None:
        # Dropping a missing object has no effect.  A copy that a node writes after its drop is never removed.
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
        """Drops the blocks of a file: their objects and their rows."""
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
