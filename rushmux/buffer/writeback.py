"""The write-back buffer at work: packets in, batches out to the nodes, flushes and barriers answered.

`decide.Buffer` decides; this carries out.  A batch stores its bytes as new objects and then makes
them visible by one change of rows, for all its files at once.
"""

import asyncio
from functools import partial

from rushmux.buffer import journal
from rushmux.buffer.flush_policy import REFUSE, TAKE, Batch, Buffer, Caps, File
from rushmux.edge.block_io import compact_block
from rushmux.edge.errors import (
    ContentionError,
    ObjectMissingError,
    OperationFailedError,
    OperationShedError,
    RequestRejectedError,
)
from rushmux.edge.operation_runner import (
    MAX_CONFLICTS,
    NO_TAG,
    OperationRunner,
    RowChange,
    check_version,
    gather_or_cancel,
)
from rushmux.files import layout
from rushmux.files.layout import Extent
from rushmux.sftp import packets as sftp

TIME = 8.0  # seconds for a batch: past the hard stops of its two accesses
STORES = 6  # objects of a batch on their way at a time: under the bound of ten out
KEYS = 400  # rows asked for at once: far under a frame's bytes
MARGIN = 0.1  # seconds kept back from a request that waits for room
SEGMENT = 4 << 20  # bytes of the log after which a new segment is begun


def buffered(deployment, disk=None):
    """What an edge of the deployment makes its buffer with; None where it has none.  `disk` keeps the log."""
    if deployment.buffer is None:
        return None
    caps = Caps(**{name: value for name, value in deployment.buffer.items() if name in Caps._fields})

    def made(driver, file_system, log):
        return WriteBack(driver, file_system, caps, log, disk, deployment.buffer["log_bytes"])

    return made


class WriteBack:
    """One edge's buffer.  `disk` holds its log (None: no log); `most_log` bounds that in bytes."""

    def __init__(self, driver, file_system, caps: Caps, log, disk=None, most_log=256 << 20):
        self.driver, self.file_system, self.log = driver, file_system, log
        self.disk, self.most_log = disk, most_log
        deployment = driver.deployment
        plans, folders = deployment.settings.plans, deployment.folders
        self.buffer = Buffer(caps, lambda folder: plans[folders[folder].plan].nominal, deployment.units)
        self.loop, self.changed, self.room = driver.loop, asyncio.Event(), asyncio.Event()
        self.waiters, self.tasks, self.recovering = {}, {}, {}
        self.epoch, self.made, self.segment, self.sizes = 1, 0, "", {}
        self.records, self.broken = [], False
        self.known = {}  # file -> its rows as last seen: version, row, blocks by number
        self.based = {}  # files whose base stands in the log since they became dirty
        self.counts = {"packets": 0, "bytes": 0, "objects": 0, "object_bytes": 0, "changes": 0, "direct": 0}
        if disk is not None:
            self.replay()

    # Packets, flushes and barriers.

    async def write(self, file: File, runner: OperationRunner, start: int, data, opened) -> bool:
        """Holds a packet of an open file; False where it has to go to the nodes at once, which the log's
        end or a size past all bounds ask for.
        """
        while True:
            verdict = self.buffer.admit(runner.folder, len(data), self.loop.time())
            if verdict == REFUSE or self.broken:
                await self.flush(file, runner)
                self.counts["direct"] += 1
                return False
            if verdict == TAKE and not self.log_is_full():
                break
            # Danger: a rush fills the buffer; its writers wait for room, and are shed in their time.
            self.changed.set()
            self.room.clear()
            try:
                async with asyncio.timeout_at(runner.deadline - MARGIN):
                    await self.room.wait()
            except TimeoutError:
                raise OperationShedError from None
        known = self.known.get(file)
        if known is None or known[0] < opened.version:
            self.known[file] = (
                opened.version,
                opened.file,
                {number: (block.version, block.extents) for number, block in opened.blocks.items()},
            )
        self.hold(file, start, data, opened.version)
        self.changed.set()
        if self.disk is not None:
            self.commit_log()
        return True

    def hold(self, file, start, data, version):
        if not file.dirty:
            file.version = version
        number = self.buffer.put(file, start, data, self.loop.time())
        self.counts["packets"] += 1
        self.counts["bytes"] += len(data)
        if self.disk is not None:
            if file not in self.based:
                self.based[file] = True
                self.record(
                    journal.BASE, folder=file.folder, file=file.number, path=file.path, version=version
                )
            self.record(
                journal.PUT,
                data,
                folder=file.folder,
                file=file.number,
                start=start,
                number=number,
                barrier=self.buffer.folder(file.folder).barrier,
            )

    def closed(self, file: File):
        """A handle of the file is gone."""
        self.buffer.close(file)
        if not (file.opens or file.dirty):
            self.known.pop(file, None)

    async def flush(self, file: File, runner: OperationRunner):
        """Until all that is held of the file is readable through any edge.

        RequestRejectedError with what went wrong before, reported once.
        """
        if file.dirty:
            number = self.buffer.want(file)
            await self.until(runner, partial(self.buffer.is_out, file, number))
        self.tell(file)

    def tell(self, file):
        error = self.buffer.take_error(file)
        if error is not None:
            raise RequestRejectedError(sftp.FAILURE, f"written before and lost: {error}")

    def mark(self, folder: str) -> int:
        """Sets a barrier: what comes later goes after what came before.  Its number."""
        barrier = self.buffer.barrier(folder)
        if self.disk is not None:
            self.record(journal.BARRIER, folder=folder, barrier=barrier)
        self.changed.set()
        return barrier

    async def past(self, folder: str, barrier: int, runner: OperationRunner):
        """Until all before a barrier is readable through any edge."""
        await self.until(runner, partial(self.buffer.is_past, folder, barrier))
        for file in list(self.buffer.folder(folder).files.values()):
            self.tell(file)

    async def until(self, runner, there):
        """Waits until `there()` holds, which each batch that ends may bring about."""
        if not self.buffer.can_make_it(runner.deadline - self.loop.time()):
            self.changed.set()
            raise OperationFailedError  # it goes on all the same, but nobody can be told in time
        self.changed.set()
        while not there():
            await self.until_changed()

    # Batches.

    async def run(self):
        """Until cancelled: begins each batch when it is due."""
        while True:
            self.changed.clear()
            batch, again = self.buffer.next(self.loop.time())
            if batch is not None:
                task = self.loop.create_task(self.write_out(batch))
                self.tasks[task] = True
                task.add_done_callback(self.tasks.pop)
                continue
            wait = None if again == float("inf") else max(0.001, again - self.loop.time())
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def write_out(self, batch: Batch):
        runner = OperationRunner(self.driver, batch.folder.name, NO_TAG, self.loop.time() + TIME)
        why = "a fault of the gateway; it was logged"
        try:
            gone, overtaken = await self.commit(runner, batch, await self.store(runner, batch))
            self.buffer.committed(batch, self.loop.time(), gone)
            if overtaken:
                self.buffer.give_up(
                    batch.folder, batch.barrier, "others wrote while this edge was down", overtaken
                )
                self.log.error("buffer.overtaken", files=[file.number for file in overtaken])
            self.done(batch)
        except Exception as fault:  # pylint: disable=broad-except
            known = isinstance(
                fault, (OperationShedError, OperationFailedError, RequestRejectedError, ObjectMissingError)
            )
            why = fault.status_text if known else why
            if not known:
                self.log.exception("buffer.fault", folder=batch.folder.name)
            before = {part.file: part.file.error for part in batch.parts}
            self.buffer.failed(batch, self.loop.time(), f"could not be written out ({why})")
            self.log.info(
                "buffer.batch.failed",
                folder=batch.folder.name,
                files=len(batch.parts),
                why=why,
                failures=batch.folder.failures,
            )
            for file, error in before.items():
                if file.error and not error:
                    self.log.error("buffer.given_up", file=file.number, why=file.error)
                    self.record_dropped(file)
                self.known.pop(file, None)
        finally:
            self.room.set()
            self.changed.set()
            for part in batch.parts:
                if not (part.file.opens or part.file.dirty):
                    self.known.pop(part.file, None)
            for name, barrier in list(self.recovering.items()):
                if self.buffer.is_past(name, barrier):
                    del self.recovering[name]
            for future in list(self.waiters):
                if not future.done():
                    future.set_result(None)

    async def store(self, runner, batch):
        """Stores a batch's bytes, each run within a block as one object; for each file its extents."""
        block, gate = self.file_system.settings.object_bytes, asyncio.Semaphore(STORES)
        role = "write" if batch.hurried else "write_out"

        async def one(number, start, pieces):
            data = b"".join(piece.data for piece in pieces)
            async with gate:
                stored = await runner.write_object(data, role)
            self.counts["objects"] += 1
            self.counts["object_bytes"] += len(data)
            return number, Extent(start, len(data), stored.name, stored.cell, 0)

        wanted = [
            (part, *divmod(start, block), pieces)
            for part in batch.parts
            for start, pieces in part.index.runs(block)
        ]
        stored = await gather_or_cancel(*(one(number, start, pieces) for _, number, start, pieces in wanted))
        extents = {part.file: [] for part in batch.parts}
        for (part, _, _, _), extent in zip(wanted, stored):
            extents[part.file].append(extent)
        return extents

    async def rows(self, runner, keys):
        found = {}
        for at in range(0, len(keys), KEYS):
            outcome = await runner.read_rows("buffer", keys=keys[at : at + KEYS])
            found.update((row.key, row) for row in outcome.rows)
        return found

    def guessed(self, batch, extents):
        """The rows to change as they were last seen here: file -> (version, row, blocks by number), each
        block its version and extents.  None where one is not known; a wrong guess is a check that fails.
        """
        found = {}
        for part in batch.parts:
            known = self.known.get(part.file)
            if known is None or part.file.recovered:
                return None
            version, file, blocks = known
            for number, _ in extents[part.file]:
                if number not in blocks and number * file.block_size < file.size:
                    return None
            found[part.file] = (
                version,
                file,
                {number: blocks.get(number, (0, [])) for number, _ in extents[part.file]},
            )
        return found

    async def looked(self, runner, batch, extents, gone, overtaken):
        """The same by a look; files that are no more, or that others have changed, are put aside."""
        rows = await self.rows(runner, [layout.file_key(part.file.number) for part in batch.parts])
        files, keys = {}, {}
        for part in batch.parts:
            row = rows.get(layout.file_key(part.file.number))
            if row is None:
                gone[part.file] = "the file was removed"
                continue
            file = layout.unpack_file(row.value)
            if self.overtaken(part.file, row.version, file):
                gone[part.file] = "others wrote to the file while this edge was down"
                overtaken.append(part.file)
                continue
            files[part.file] = row.version, file, {}
            for number, _ in extents[part.file]:
                keys[layout.block_key(file.data_id, number)] = part.file, number
        rows = await self.rows(runner, list(keys))
        for key, (file, number) in keys.items():
            row = rows.get(key)
            files[file][2][number] = (row.version, layout.unpack_block(row.value)) if row else (0, [])
        return files

    async def commit(self, runner, batch, extents):
        """One change of rows for all files of the batch; the files that are no more, and why, and those
        that others wrote to while an earlier start's packets lay in the log.
        """
        ends = {part.file: part.index.end for part in batch.parts}
        for attempt in range(MAX_CONFLICTS):
            await runner.back_off(attempt)
            gone, overtaken = {}, []
            files = self.guessed(batch, extents) if attempt == 0 else None
            if files is None:
                files = await self.looked(runner, batch, extents, gone, overtaken)
            if not files:
                return gone, overtaken
            stamp = self.driver.unique_name()
            try:
                laid_out = await self.laid_out(runner, files, extents)
            except ObjectMissingError:  # replaced under our hands: a fresh look knows by what
                continue
            checks, puts, dropped, after = [], [], [], {}
            for held, (version, file, blocks) in files.items():
                size, now = max(file.size, ends[held]), self.file_system.calendar()
                file = file._replace(size=size, mtime=now, batch_stamp=stamp)
                key, places = layout.file_key(held.number), {}
                after[held] = len(puts), file, places
                checks.append(check_version(key, version))
                puts.append((key, layout.pack_file(file)))
                for number, (version, before) in blocks.items():
                    laid = laid_out[held, number]
                    key = layout.block_key(file.data_id, number)
                    places[number] = len(puts), laid
                    checks.append(check_version(key, version))
                    puts.append((key, layout.pack_block(laid)))
                    dropped += layout.unreferenced(before, laid)
            if dropped:
                puts.append(self.file_system.garbage_objects_row(dropped))
            self.intend(batch, files, stamp)
            done = await runner.change_rows("buffer", RowChange(checks, puts))
            if done is None:
                continue
            self.counts["changes"] += 1
            if dropped:
                self.file_system.schedule_collection(runner.folder)
            for held, (place, file, places) in after.items():
                held.version = done[place].version
                blocks = {number: (done[at].version, laid) for number, (at, laid) in places.items()}
                self.known[held] = held.version, file, blocks
            return gone, overtaken
        raise ContentionError("the files")

    async def laid_out(self, runner, files, extents):
        """The extents of each block with the batch's over them; one in too many pieces is written as one."""
        found = {}
        for held, (_, _, blocks) in files.items():
            for number, (_, laid) in blocks.items():
                for place, extent in extents[held]:
                    if place == number:
                        laid = layout.overlay(laid, extent)
                if len(laid) > self.file_system.settings.extents:
                    laid = [await compact_block(runner, laid)]
                found[held, number] = laid
        return found

    def overtaken(self, file, version, row):
        """Danger: what a killed edge still held must not undo what others wrote since."""
        own = file.stamp and row.batch_stamp == file.stamp
        return file.recovered and file.version != version and not own

    # The log.

    def log_is_full(self):
        return self.disk is not None and sum(self.sizes.values()) > self.most_log

    def record(self, kind, data=b"", **fields):
        self.records.append(journal.pack(kind, data, **fields))

    def commit_log(self):
        """Writes the records of this turn; where the disk does not take them, no more is held."""
        records, self.records = self.records, []
        if not records or self.broken:
            return
        data = b"".join(records)
        if not self.sizes or self.sizes[self.segment] > SEGMENT:
            if not self.sizes:  # all before is on nodes: nothing of it is needed to read this
                data = journal.pack(journal.BEGUN, epoch=self.epoch) + data
            self.made += 1
            self.segment = f"{self.epoch:08}-{self.made:06}.log"
            self.sizes[self.segment] = 0
            data = journal.HEAD + data
        try:
            self.disk.append(self.segment, data)
            self.sizes[self.segment] += len(data)
        except OSError as fault:
            self.broken = True
            self.log.error("buffer.log.failed", segment=self.segment, why=str(fault))

    def intend(self, batch, files, stamp):
        """Danger: killed before the answer to a change, its next start must know the change for its own."""
        for part in batch.parts:
            part.file.stamp = stamp
        if self.disk is not None:
            self.record(
                journal.INTENT,
                folder=batch.folder.name,
                stamp=stamp,
                files=[part.file.number for part in batch.parts if part.file in files],
            )
            self.commit_log()

    def done(self, batch):
        """Notes what is on nodes; a log of which all is on nodes is begun anew."""
        if self.disk is None:
            return
        for part in batch.parts:
            self.record(
                journal.DONE,
                folder=batch.folder.name,
                file=part.file.number,
                number=part.number,
                version=part.file.version,
            )
            if not part.file.dirty:
                self.based.pop(part.file, None)
        self.commit_log()
        if not self.buffer.bytes or sum(self.sizes.values()) > 2 * self.buffer.bytes + 4 * SEGMENT:
            self.begin_log()

    def begin_log(self):
        """Leaves the segments so far behind for a new epoch; they go when that is written."""
        old, self.sizes, self.based = list(self.sizes), {}, {}
        self.epoch, self.made = self.epoch + 1, 0
        if self.buffer.bytes:
            self.dump()
        if not self.broken:
            for name in old:
                self.disk.remove(name)

    def dump(self):
        """Puts all that is held into the log."""
        for folder in self.buffer.folders.values():
            for file in folder.files.values():
                if not file.dirty:
                    continue
                self.based[file] = True
                self.record(
                    journal.BASE, folder=folder.name, file=file.number, path=file.path, version=file.version
                )
                if file.stamp:
                    self.record(journal.INTENT, folder=folder.name, stamp=file.stamp, files=[file.number])
                for barrier, layer in sorted(file.layers.items()):
                    for piece in (piece for part in (layer.out, layer.index) if part for piece in part):
                        self.record(
                            journal.PUT,
                            piece.data,
                            folder=folder.name,
                            file=file.number,
                            start=piece.start,
                            number=piece.number,
                            barrier=barrier,
                        )
        self.commit_log()

    def replay(self):
        """Takes in what an earlier start held and had not written out."""
        epochs = {}
        for name in self.disk.names():
            epochs.setdefault(int(name.split("-")[0]), []).append(name)
        self.epoch = max(epochs, default=0) + 1
        held, names = [], [name for part in epochs.values() for name in part]
        for epoch in sorted(epochs, reverse=True):
            held = self.read_epoch(epochs[epoch])
            # An epoch is whole from its beginning on; one that a kill cut short has the one before it.
            if held and held[0].kind == journal.BEGUN:
                break
        self.take_in(held)
        if self.buffer.bytes:
            self.dump()
        if not self.broken:
            for name in names:
                if name in self.disk.names():
                    self.disk.remove(name)

    def read_epoch(self, names):
        records = []
        for name in names:
            try:
                found = journal.read(self.disk.read(name))
            except journal.BadSegment as fault:
                found = journal.Read([], False, 0)
                self.log.error("buffer.log.bad", segment=name, why=str(fault))
            records += found.records
            if found.damaged is not None:
                # What follows damage is not written out: it could come out of order.
                self.log.error("buffer.log.damaged", segment=name, at=found.damaged)
                self.disk.set_aside(name)
                break
            if found.torn:
                self.log.info("buffer.log.torn", segment=name)
        return records

    def take_in(self, records):
        """Rebuilds the buffer from records."""
        files, barriers, began = {}, {}, self.loop.time()
        for record in records:
            fields = record.fields
            key = fields.get("folder"), fields.get("file")
            if record.kind == journal.BASE:
                files[key] = [fields["path"], fields["version"], "", {}]
            elif record.kind == journal.PUT:
                files[key][3].setdefault(fields["barrier"], []).append(
                    (fields["number"], fields["start"], record.data)
                )
            elif record.kind == journal.BARRIER:
                barriers[key[0]] = fields["barrier"]
            elif record.kind == journal.INTENT:
                for number in fields["files"]:
                    if (key[0], number) in files:
                        files[key[0], number][2] = fields["stamp"]
            elif record.kind == journal.DONE and key in files:
                held = files[key]
                held[1] = fields["version"]
                for barrier, packets in held[3].items():
                    held[3][barrier] = [packet for packet in packets if packet[0] > fields["number"]]
            elif record.kind == journal.DROPPED:
                files.pop(key, None)
        packets = sorted(
            (number, barrier, key, start, data)
            for key, held in files.items()
            for barrier, some in held[3].items()
            for number, start, data in some
        )
        for number, barrier, (name, file), start, data in packets:
            if name not in self.driver.deployment.folders:
                self.log.error("buffer.recovered.no_folder", folder=name, file=file)
                continue
            folder, held = self.buffer.folder(name), self.buffer.file(name, file, files[name, file][0])
            folder.barrier = max(folder.barrier, barrier)
            held.version, held.stamp, held.recovered = files[name, file][1], files[name, file][2], True
            self.buffer.count = number - 1
            self.buffer.put(held, start, data, began)
        for name, folder in self.buffer.folders.items():
            folder.wanted_barrier, folder.barrier = folder.barrier, folder.barrier + 1
            self.recovering[name] = folder.wanted_barrier
        if packets:
            self.log.info(
                "buffer.recovered",
                packets=len(packets),
                bytes=self.buffer.bytes,
                folders=len(self.recovering),
            )

    async def drain(self, until):
        """Has everything written out, until a time at the most."""
        for folder in self.buffer.folders.values():
            folder.wanted_barrier = folder.barrier
        self.changed.set()
        while self.buffer.bytes and self.loop.time() < until:
            await asyncio.sleep(MARGIN / 2)

    async def ready(self, folder, until):
        """Until what an earlier start held of the folder is written out or given up."""
        while folder in self.recovering:
            try:
                async with asyncio.timeout_at(until):
                    await self.until_changed()
            except TimeoutError:
                raise OperationShedError from None

    async def until_changed(self):
        future = self.loop.create_future()
        self.waiters[future] = True
        try:
            await future
        finally:
            self.waiters.pop(future, None)
