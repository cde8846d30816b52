"""One client's session: packets in, answers out, each request under its own time.

A request becomes one or more operations through `Tree` and `OpenFile`.  Whatever happens to one
request is its own answer; the session ends only where the stream itself cannot be followed.
"""

import asyncio
import contextlib
import struct
import time

from rushmux.edge import request_ordering
from rushmux.edge.directories import Refused, attributes, root_attributes
from rushmux.edge.openfile import OpenFile
from rushmux.edge.operation_runner import Damaged, Errand, Lost, Shed, Terminated
from rushmux.edge.request_ordering import Claim, Turns
from rushmux.edge.write_coalescing import Outgoing
from rushmux.files import layout, paths
from rushmux.sftp import packets as sftp

MARGIN = 0.05  # seconds kept back from a client's time for the way of the answer
READ = 1 << 17  # bytes asked of the socket at once
UNSENT = 1 << 20  # bytes of answers not taken by the client before no more of it is read
BLOCK = 4_096  # bytes in a block as statvfs counts them
NOT_ASKED = (
    sftp.Init,
    sftp.Version,
    sftp.Status,
    sftp.Handle,
    sftp.Data,
    sftp.Names,
    sftp.Attrs,
    sftp.ExtendedReply,
)
EXTENSIONS = (
    ("posix-rename@openssh.com", b"1"),
    ("fsync@openssh.com", b"1"),
    ("statvfs@openssh.com", b"2"),
    ("barrier@rushmux", b"1"),
)


class Ended(Exception):
    """The session cannot go on; the text is the reason that is logged."""


class OpenDirectory:
    """One handle's place in a listing."""

    def __init__(self, path, folder, number, rows=None):
        self.path, self.folder, self.number, self.rows = path, folder, number, rows
        self.after, self.done = "", False


def long_name(name, shown):
    """A line as `ls -l` prints it, which old clients show as it is."""
    kind = "d" if (shown.mode or 0) & sftp.DIRECTORY == sftp.DIRECTORY else "-"
    bits = "".join(
        letter if (shown.mode or 0) >> shift & 1 else "-"
        for letter, shift in zip("rwxrwxrwx", range(8, -1, -1))
    )
    when = time.strftime("%b %d  %Y", time.gmtime(shown.mtime or 0))
    return f"{kind}{bits}    1 {shown.uid or 0:<8} {shown.gid or 0:<8} {shown.size or 0:8} {when} {name}"


class Session:
    """A connection of a client from its first byte to its last."""

    def __init__(self, edge, name, reader, writer):
        self.edge, self.name, self.reader, self.writer = edge, name, reader, writer
        self.outgoing = Outgoing(writer)
        self.log = edge.log.bind(session=name)
        self.bounds, self.loop = edge.deployment.sessions, asyncio.get_running_loop()
        self.packets, self.turns, self.handles, self.tasks = sftp.Packets(), Turns(), {}, {}
        self.ready, self.count, self.opened, self.begun_at = False, 0, 0, None
        self.room, self.unread_timer = asyncio.Event(), None
        self.window = asyncio.Semaphore(self.bounds.window)
        self.calls = {
            sftp.Open: self.open,
            sftp.Close: self.close,
            sftp.Read: self.read,
            sftp.Write: self.write,
            sftp.LStat: self.stat,
            sftp.Stat: self.stat,
            sftp.FStat: self.handle_stat,
            sftp.SetStat: self.set_stat,
            sftp.FSetStat: self.handle_set_stat,
            sftp.OpenDir: self.open_directory,
            sftp.ReadDir: self.read_directory,
            sftp.Remove: self.remove,
            sftp.MkDir: self.make_directory,
            sftp.RmDir: self.remove_directory,
            sftp.RealPath: self.real_path,
            sftp.Rename: self.rename,
            sftp.Extended: self.extended,
        }

    async def run(self):
        """Until the client leaves, breaks the protocol, or the edge calls it off."""
        why = "left"
        try:
            while True:
                await self.take_some()
        except Ended as reason:
            why = str(reason)
        except sftp.BadPacket as fault:
            why = str(fault)
        except (ConnectionError, OSError) as fault:
            why = f"broken: {fault}"
        finally:
            if not self.edge.closing:
                for task in list(self.tasks):
                    task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for held in self.handles.values():
                if isinstance(held, OpenFile):
                    held.release()
            if self.unread_timer is not None:
                self.unread_timer.cancel()
            self.outgoing.flush()
            self.writer.close()
            self.log.info("session.ended", why=why, requests=self.count)

    async def take_some(self):
        """Reads once and begins the requests that this completes."""
        # Danger: a client that sends a byte a second holds a session with nothing ever whole.
        left = None if self.begun_at is None else self.begun_at + self.bounds.packet - self.loop.time()
        try:
            async with asyncio.timeout(left):
                data = await self.reader.read(READ)
        except TimeoutError:
            raise Ended(f"a packet not whole after {self.bounds.packet} s") from None
        if not data:
            raise Ended("left" if not self.packets.begun else "left within a packet")
        bodies = self.packets.feed(data)
        if not self.packets.begun:
            self.begun_at = None
        elif bodies or self.begun_at is None:
            self.begun_at = self.loop.time()
        for body in bodies:
            await self.take(body)
            if self.unread_timer is not None:
                self.outgoing.flush()
                await self.writer.drain()  # more is begun when its answers were taken

    def watch_unread(self):
        """Danger: a client that sends and never reads makes its answers pile up here."""
        if self.outgoing.held() > UNSENT and self.unread_timer is None:
            self.unread_timer = self.loop.call_later(self.bounds.unread, self.unread)

    def unread(self):
        self.unread_timer = None
        if self.outgoing.held() > UNSENT:
            self.log.warning("session.unread", seconds=self.bounds.unread)
            self.writer.transport.abort()

    async def take(self, body):
        try:
            packet = sftp.decode(body)
        except sftp.BadPacket as fault:
            if fault.request is None or not self.ready:
                raise
            self.count += 1
            self.log.warning("packet.bad", why=str(fault))
            return self.reply(self.status(fault.request, sftp.BAD_MESSAGE, str(fault)))
        if not self.ready:
            if not isinstance(packet, sftp.Init):
                raise Ended(f"{type(packet).__name__} before Init")
            self.ready = True
            self.log.info("session.ready", version=packet.version)
            pairs = EXTENSIONS + (("session@rushmux", self.name.encode()),)
            return self.reply(sftp.Version(min(packet.version, sftp.VERSION), pairs))
        if isinstance(packet, NOT_ASKED):
            raise Ended(f"{type(packet).__name__} in the middle of a session")
        self.count += 1
        if self.edge.closing:
            return self.reply(self.status(packet.request, sftp.FAILURE, "shed: the edge is closing"))
        while len(self.turns) >= self.bounds.pipelined:
            self.room.clear()
            await self.room.wait()
        claim = self.claim(packet)
        number, before = self.turns.enter(claim)
        task = self.loop.create_task(self.answer(packet, self.count, claim, number, before))
        self.tasks[task] = True
        task.add_done_callback(self.tasks.pop)

    def claim(self, packet) -> Claim:
        """What the request touches; nothing where its path or handle means nothing."""
        kind, held = type(packet), self.handles.get(getattr(packet, "handle", None))
        if held is not None:
            if kind is sftp.Read:
                return Claim(
                    request_ordering.READ, (held.path,), packet.offset, packet.offset + packet.length
                )
            if kind is sftp.Write and not (isinstance(held, OpenFile) and held.flags & sftp.APPEND):
                return Claim(
                    request_ordering.WRITE, (held.path,), packet.offset, packet.offset + len(packet.data)
                )
            return Claim(
                request_ordering.LOOK if kind is sftp.FStat else request_ordering.ALTER, (held.path,)
            )
        if kind is sftp.Extended:
            # Both texts of a rename; a handle's name where it is one of ours.
            cursor, texts = sftp.Cursor(memoryview(packet.data)), []
            with contextlib.suppress(sftp.BadPacket):
                while cursor.at < len(packet.data) and len(texts) < 2:
                    texts.append(cursor.raw())
            found = [self.handles[text].path for text in texts if text in self.handles]
            named = self.names(*(text.decode(errors="replace") for text in texts))
            return Claim(request_ordering.ALTER, (*found, *named))
        asked = self.names(*(getattr(packet, name) for name in ("path", "target") if hasattr(packet, name)))
        looks = kind in (sftp.Stat, sftp.LStat, sftp.OpenDir, sftp.RealPath) or (
            kind is sftp.Open and not packet.flags & (sftp.CREATE | sftp.TRUNCATE)
        )
        return Claim(request_ordering.LOOK if looks else request_ordering.ALTER, asked)

    @staticmethod
    def names(*texts):
        found = []
        for text in texts:
            with contextlib.suppress(paths.BadPath):
                found.append(paths.split(text))
        return tuple(found)

    async def answer(self, packet, count, claim, number, before):
        """One request from its turn to its one answer."""
        until = self.loop.time() + self.bounds.patience - MARGIN
        tag = f"{self.name.rsplit('/', 1)[1]}.{count}"
        try:
            async with asyncio.timeout_at(until):
                for over in before:
                    await over
                if self.edge.buffer is not None and self.edge.buffer.recovering:
                    for path in claim.paths:
                        await self.edge.buffer.wait_until_recovered(path[0] if path else "", until - MARGIN)
                call = self.calls.get(type(packet))
                if call is None:
                    raise Refused(sftp.OP_UNSUPPORTED, f"requests of type {packet.code} are not offered")
                # Danger: a stock client sends hundreds of reads ahead; taken all at once, most would be
                # past their quoted time before their turn, and be shed.
                async with self.window:
                    reply = await call(packet, lambda folder: Errand(self.edge.driver, folder, tag, until))
        except Refused as fault:
            reply = self.status(packet.request, fault.code, str(fault))
        except paths.BadPath as fault:
            reply = self.status(packet.request, sftp.PERMISSION_DENIED, str(fault))
        except Shed as fault:
            again = f"; try again in {fault.come_back:.1f} s" if fault.come_back else ""
            reply = self.status(packet.request, sftp.FAILURE, "shed: nothing was done" + again)
        except (Terminated, TimeoutError):
            reply = self.status(packet.request, sftp.FAILURE, "terminated: it may have been done")
        except Lost as fault:
            reply = self.status(packet.request, sftp.FAILURE, f"object {fault} is not on its node")
        except Damaged as fault:
            self.log.error("object.damaged", object=str(fault))
            reply = self.status(packet.request, sftp.FAILURE, f"object {fault} came back damaged")
        except Exception:  # pylint: disable=broad-except
            self.log.exception("session.fault", request=type(packet).__name__)
            reply = self.status(packet.request, sftp.FAILURE, "a fault of the gateway; it was logged")
        finally:
            self.turns.leave(number)
            self.room.set()
        self.reply(reply)

    def reply(self, packet):
        self.outgoing.write(sftp.encode(packet))
        self.watch_unread()

    @staticmethod
    def status(request, code=sftp.OK, text="done"):
        return sftp.Status(request, code, text, "en")

    def done(self, packet):
        return self.status(packet.request)

    # Paths and handles.

    def place(self, path) -> tuple[str, tuple[str, ...]]:
        """The folder and the names below it; ("", ()) is the root."""
        names = paths.split(path)
        if not names:
            return "", ()
        if names[0] not in self.edge.deployment.folders:
            raise Refused(sftp.NO_SUCH_FILE, f"there is no folder '{names[0]}'")
        if not self.edge.serves(names[0]):
            raise Refused(sftp.PERMISSION_DENIED, f"folder '{names[0]}' is not served by this edge")
        self.edge.cleaner.met(names[0])
        return names[0], names[1:]

    def inside(self, path):
        """As `place`, for what must lie in a folder."""
        folder, names = self.place(path)
        if not names:
            raise Refused(sftp.PERMISSION_DENIED, "folders are made and removed by the deployment file only")
        return folder, names

    def hold(self, packet, what):
        self.opened += 1
        handle = f"{self.name}/{self.opened}".encode()
        self.handles[handle] = what
        return sftp.Handle(packet.request, handle)

    def room_for_handle(self):
        if len(self.handles) >= self.bounds.handles:
            raise Refused(sftp.FAILURE, f"{self.bounds.handles} handles are open, the most of a session")

    def held(self, packet, kind):
        what = self.handles.get(packet.handle)
        if not isinstance(what, kind):
            raise Refused(sftp.FAILURE, "no such handle in this session")
        return what

    # One for each kind of request: the packet and a maker of errands in, the reply out.

    async def open(self, packet, errand):
        self.room_for_handle()
        folder, names = self.inside(packet.path)
        if not packet.flags & (sftp.READ | sftp.WRITE):
            raise Refused(sftp.BAD_MESSAGE, "a file is opened to read or to write")
        once = errand(folder)
        if packet.flags & sftp.TRUNCATE:
            await self.written_out(once, names)
        found = await self.edge.tree.open(once, names, packet.flags, packet.attributes)
        self.room_for_handle()
        file = OpenFile(self.edge.tree, (folder, *names), found, packet.flags, self.edge.buffer)
        return self.hold(packet, file)

    async def written_out(self, errand, names):
        """Danger: bytes held of a file that is cut would come back after the cut."""
        buffer = self.edge.buffer
        if buffer is not None and buffer.writes.folder(errand.folder).byte_count:
            found = await self.edge.tree.find(errand, names)
            held = buffer.writes.find_file(errand.folder, found.number)
            if held is not None:
                await buffer.flush(held, errand)

    async def close(self, packet, errand):
        held = self.held(packet, (OpenFile, OpenDirectory))
        del self.handles[packet.handle]
        if isinstance(held, OpenFile):
            try:
                await held.flush(errand(held.folder))
            finally:
                held.release()
        return self.done(packet)

    async def read(self, packet, errand):
        file = self.held(packet, OpenFile)
        if not file.flags & sftp.READ:
            raise Refused(sftp.PERMISSION_DENIED, "the handle is not open to read")
        data = await file.read(errand(file.folder), packet.offset, packet.length)
        if packet.length and not data:
            return self.status(packet.request, sftp.EOF, "end of file")
        return sftp.Data(packet.request, data)

    async def write(self, packet, errand):
        file = self.held(packet, OpenFile)
        if not file.flags & sftp.WRITE:
            raise Refused(sftp.PERMISSION_DENIED, "the handle is not open to write")
        if packet.data:
            await file.write(errand(file.folder), packet.offset, packet.data)
        return self.done(packet)

    async def stat(self, packet, errand):
        folder, names = self.place(packet.path)
        if not names:
            return sftp.Attrs(packet.request, root_attributes())
        found = await self.edge.tree.existing(errand(folder), names)
        return sftp.Attrs(packet.request, self.shown(folder, found.number, found.file))

    def shown(self, folder, number, file):
        """Attributes with what the buffer holds past the end of the file."""
        held = self.edge.buffer and self.edge.buffer.writes.find_file(folder, number)
        return attributes(file._replace(size=max(file.size, held.end)) if held else file)

    async def handle_stat(self, packet, errand):
        file = self.held(packet, OpenFile)
        await file.load(errand(file.folder), (), self.loop.time())
        return sftp.Attrs(packet.request, self.shown(file.folder, file.number, file.file))

    async def set_stat(self, packet, errand):
        folder, names = self.inside(packet.path)
        once = errand(folder)
        if packet.attributes.size is not None:
            await self.written_out(once, names)
        found = await self.edge.tree.existing(once, names)
        await self.edge.tree.set_attributes(once, found.number, packet.attributes)
        return self.done(packet)

    async def handle_set_stat(self, packet, errand):
        file = self.held(packet, OpenFile)
        if packet.attributes.size is not None and not file.flags & sftp.WRITE:
            raise Refused(sftp.PERMISSION_DENIED, "the handle is not open to write")
        await file.flush(errand(file.folder))
        row, version = await self.edge.tree.set_attributes(
            errand(file.folder), file.number, packet.attributes
        )
        file.file, file.version = row, version
        file.blocks.clear()
        return self.done(packet)

    async def open_directory(self, packet, errand):
        self.room_for_handle()
        folder, names = self.place(packet.path)
        if not folder:
            served = [name for name in self.edge.deployment.folders if self.edge.serves(name)]
            return self.hold(packet, OpenDirectory((), "", layout.ROOT, served))
        if names:
            found = await self.edge.tree.existing(errand(folder), names)
            if not found.is_directory:
                raise Refused(sftp.FAILURE, "/".join(names) + " is no directory")
            number = found.number
        else:
            number = layout.ROOT
        self.room_for_handle()
        return self.hold(packet, OpenDirectory((folder, *names), folder, number))

    async def read_directory(self, packet, errand):
        held = self.held(packet, OpenDirectory)
        rows = []
        while not rows:
            if held.done:
                return self.status(packet.request, sftp.EOF, "end of the listing")
            if held.rows is not None:
                rows = [(name, root_attributes()) for name in held.rows[:100]]
                held.rows = held.rows[100:]
                held.done = not held.rows
            else:
                page, held.after = await self.edge.tree.page(errand(held.folder), held.number, held.after)
                rows = [(name, self.shown(held.folder, number, file)) for name, number, file in page]
                held.done = not held.after
        names = [sftp.Name(name, long_name(name, shown), shown) for name, shown in rows]
        return sftp.Names(packet.request, names)

    async def remove(self, packet, errand):
        folder, names = self.inside(packet.path)
        await self.edge.tree.remove(errand(folder), names, directory=False)
        return self.done(packet)

    async def make_directory(self, packet, errand):
        folder, names = self.inside(packet.path)
        await self.edge.tree.make_directory(errand(folder), names, packet.attributes)
        return self.done(packet)

    async def remove_directory(self, packet, errand):
        folder, names = self.inside(packet.path)
        await self.edge.tree.remove(errand(folder), names, directory=True)
        return self.done(packet)

    async def real_path(self, packet, errand):
        path = "/" + "/".join(paths.split(packet.path))
        return sftp.Names(packet.request, [sftp.Name(path, path, sftp.Attributes())])

    async def rename(self, packet, errand, replace=False):
        folder, names = self.inside(packet.path)
        other, target = self.inside(packet.target)
        if folder != other:
            raise Refused(sftp.PERMISSION_DENIED, "names do not move between folders")
        await self.edge.tree.rename(errand(folder), names, target, replace)
        moved, goal = (folder, *names), (folder, *target)
        for held in self.handles.values():
            if held.path[: len(moved)] == moved:
                held.path = goal + held.path[len(moved) :]
        return self.done(packet)

    async def extended(self, packet, errand):
        cursor = sftp.Cursor(memoryview(packet.data))
        try:
            if packet.name == "posix-rename@openssh.com":
                moved = sftp.Rename(packet.request, cursor.text(), cursor.text())
                return await self.rename(moved, errand, replace=True)
            if packet.name == "fsync@openssh.com":
                # Without a buffer, what was answered as written lies on nodes already.
                file = self.held(sftp.Close(packet.request, cursor.raw()), OpenFile)
                await file.flush(errand(file.folder))
                return self.done(packet)
            if packet.name == "barrier@rushmux":
                folder, _ = self.place(cursor.text())
                if not folder:
                    raise Refused(sftp.FAILURE, "a barrier is set over one folder")
                if self.edge.buffer is not None:
                    barrier = self.edge.buffer.set_barrier(folder)
                    await self.edge.buffer.wait_for_barrier(folder, barrier, errand(folder))
                return self.done(packet)
            if packet.name == "statvfs@openssh.com":
                self.place(cursor.text())
                return sftp.ExtendedReply(packet.request, self.space())
        except sftp.BadPacket as fault:
            raise Refused(sftp.BAD_MESSAGE, f"{packet.name}: {fault}") from fault
        raise Refused(sftp.OP_UNSUPPORTED, f"extension '{packet.name[:64]}' is not offered")

    def space(self):
        """The fields of statvfs: what the nodes in the list have, in blocks."""
        total = sum(total for total, _ in self.edge.driver.disk.values()) // BLOCK
        free = sum(free for _, free in self.edge.driver.disk.values()) // BLOCK
        return struct.pack(">11Q", BLOCK, BLOCK, total, free, free, 0, 0, 0, 0, 0, paths.MOST_NAME)
