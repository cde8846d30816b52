"""Names and attributes of a folder's files, as operations on its home cell.

Every change carries checks on the rows that it was decided by, so that two edges that change
one folder at once lose nothing: a check that fails is followed by a fresh look, a few times.
"""

from typing import NamedTuple

from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.operation_runner import CONFLICTS, Errand
from rushmux.files import layout
from rushmux.files.layout import ROOT, File
from rushmux.sftp import packets as sftp

PAGE = 100  # entries in one answer to READDIR: some 10 KiB
STEP = 256  # blocks cut off by one change: its message stays far under a frame's bound
MODE = 0o644  # of a file whose client states none


class Found(NamedTuple):
    """What a name means: its rows and their versions (0: no row)."""

    parent: str  # id of the directory that holds it
    name: str
    number: str  # its id; "" where there is nothing
    file: File | None
    entry_version: int = 0
    version: int = 0
    chain: tuple = ()  # (key, version) of the entries that lead to the parent

    @property
    def is_directory(self):
        return self.file is not None and self.file.kind == "d"

    def parent_check(self):
        return [{"key": layout.file_key(self.parent), "exists": True}] if self.parent != ROOT else []


def no_such(names):
    return RequestRejectedError(sftp.NO_SUCH_FILE, "/".join(names) + ": no such file")


def contended(what):
    return RequestRejectedError(sftp.FAILURE, f"{what}: others change it at the same time; try again")


def attributes(file: File) -> sftp.Attributes:
    kind = sftp.DIRECTORY if file.kind == "d" else sftp.REGULAR
    return sftp.Attributes(file.size, file.uid, file.gid, kind | file.mode, file.atime, file.mtime)


def root_attributes() -> sftp.Attributes:
    return sftp.Attributes(0, 0, 0, sftp.DIRECTORY | 0o755, 0, 0)


class Tree:
    """The names of all folders, as one edge reaches them.

    `wall` gives whole seconds since 1970; `drop(folder)` tells the cleaner that a folder has
    something to drop.
    """

    def __init__(self, files, unique, wall, drop):
        self.files, self.unique, self.wall, self.drop = files, unique, wall, drop

    async def find(self, errand: Errand, names) -> Found:
        """What the names mean; RequestRejectedError where a directory on the way is missing or is a file."""
        if not names:
            return Found("", "", ROOT, File("d", 0o755))
        rows = (await errand.look("/".join(names), path=names)).rows
        # The answer holds an entry's row and the file's row for each name, as far as the path leads.
        parent, chain = ROOT, []
        for depth, name in enumerate(names):
            last = depth == len(names) - 1
            if 2 * depth + 1 >= len(rows):
                if last:
                    return Found(parent, name, "", None, chain=tuple(chain))
                raise no_such(names)
            entry, row = rows[2 * depth], rows[2 * depth + 1]
            number, _ = layout.unpack_entry(entry.value)
            file = layout.unpack_file(row.value)
            if last:
                return Found(parent, name, number, file, entry.version, row.version, tuple(chain))
            if file.kind != "d":
                raise RequestRejectedError(
                    sftp.NO_SUCH_FILE, "/".join(names[: depth + 1]) + " is no directory"
                )
            parent = number
            chain.append((entry.key, entry.version))
        raise AssertionError("unreachable: the loop returns at the last name")

    async def existing(self, errand, names) -> Found:
        found = await self.find(errand, names)
        if found.file is None:
            raise no_such(names)
        return found

    def doomed(self, **what):
        """A row that tells the cleaner of objects of no more use."""
        return f"x/{self.unique()}", layout.orjson.dumps(what)

    async def open(self, errand, names, flags, asked) -> Found:
        """The file to open, made or emptied as the flags say."""
        for attempt in range(CONFLICTS):
            await errand.apart(attempt)
            found = await self.find(errand, names)
            if found.file is None:
                if not flags & sftp.CREATE:
                    raise no_such(names)
                file = self.new("f", MODE if asked.mode is None else asked.mode)
                made = await self.add(errand, found, file)
                if made:
                    return made
            elif flags & sftp.CREATE and flags & sftp.EXCLUSIVE:
                raise RequestRejectedError(sftp.FAILURE, "/".join(names) + " exists")
            elif found.is_directory:
                raise RequestRejectedError(sftp.FAILURE, "/".join(names) + " is a directory")
            elif flags & sftp.TRUNCATE and found.file.size:
                emptied = await self.empty(errand, found)
                if emptied:
                    return emptied
            else:
                return found
        raise contended("/".join(names))

    def new(self, kind, mode) -> File:
        now = self.wall()
        data = self.unique() if kind == "f" else ""
        return File(kind, mode & 0o7777, 0, now, now, 0, 0, data, self.files.object_bytes if data else 0)

    async def add(self, errand, found: Found, file: File) -> Found | None:
        """Puts a new file or directory where nothing is; None where that has changed."""
        number = self.unique()
        entry, row = layout.entry_key(found.parent, found.name), layout.file_key(number)
        done = await errand.change(
            f"{found.parent}/{found.name}",
            [*found.parent_check(), {"key": entry}],
            [(entry, layout.pack_entry(number, file.kind)), (row, layout.pack_file(file))],
        )
        if done is None:
            return None
        return found._replace(
            number=number, file=file, entry_version=done[0].version, version=done[1].version
        )

    async def empty(self, errand, found: Found) -> Found | None:
        file = found.file._replace(size=0, mtime=self.wall(), data=self.unique())
        key = layout.file_key(found.number)
        done = await errand.change(
            found.number,
            [{"key": key, "version": found.version}],
            [(key, layout.pack_file(file)), self.doomed(data=found.file.data)],
        )
        if done is None:
            return None
        self.drop(errand.folder)
        return found._replace(file=file, version=done[0].version)

    async def make_directory(self, errand, names, asked):
        for attempt in range(CONFLICTS):
            await errand.apart(attempt)
            found = await self.find(errand, names)
            if found.file is not None:
                raise RequestRejectedError(sftp.FAILURE, "/".join(names) + " exists")
            if await self.add(errand, found, self.new("d", 0o755 if asked.mode is None else asked.mode)):
                return
        raise contended("/".join(names))

    async def remove(self, errand, names, directory):
        """Removes a file, or an empty directory."""
        for attempt in range(CONFLICTS):
            await errand.apart(attempt)
            found = await self.existing(errand, names)
            if found.is_directory != directory:
                kind = "is a directory" if found.is_directory else "is no directory"
                raise RequestRejectedError(sftp.FAILURE, "/".join(names) + " " + kind)
            entry, row = layout.entry_key(found.parent, found.name), layout.file_key(found.number)
            checks = [{"key": entry, "version": found.entry_version}]
            if directory:
                after, below = layout.entries_of(found.number)
                if (await errand.look(found.number, after=after, below=below, most=1)).rows:
                    raise RequestRejectedError(sftp.FAILURE, "/".join(names) + " is not empty")
                checks.append({"key": after, "empty_below": below})
                puts = []
            else:
                puts = [self.doomed(data=found.file.data)]
            if await errand.change(found.number, checks, puts, [entry, row]) is not None:
                if puts:
                    self.drop(errand.folder)
                return
        raise contended("/".join(names))

    async def rename(self, errand, names, target, replace):
        """Moves a name within the folder; `replace`: over a file, or an empty directory, in one step."""
        for attempt in range(CONFLICTS):
            await errand.apart(attempt)
            found = await self.existing(errand, names)
            other = await self.find(errand, target)
            if found.number == other.number:
                return
            if found.is_directory and target[: len(names)] == names:
                raise RequestRejectedError(sftp.FAILURE, "a directory cannot go below itself")
            entry = layout.entry_key(found.parent, found.name)
            goal = layout.entry_key(other.parent, other.name)
            # The way to the new place must not change meanwhile, or a directory could end below itself.
            checks = [
                {"key": entry, "version": found.entry_version},
                *other.parent_check(),
                {"key": goal, "version": other.entry_version},
            ]
            if found.is_directory:
                checks += [{"key": key, "version": version} for key, version in other.chain]
            puts, drops = [(goal, layout.pack_entry(found.number, found.file.kind))], [entry]
            if other.file is not None:
                if not replace:
                    raise RequestRejectedError(sftp.FAILURE, "/".join(target) + " exists")
                if other.is_directory != found.is_directory:
                    raise RequestRejectedError(
                        sftp.FAILURE, "a directory and a file do not replace each other"
                    )
                drops.append(layout.file_key(other.number))
                if other.is_directory:
                    after, below = layout.entries_of(other.number)
                    checks.append({"key": after, "empty_below": below})
                else:
                    puts.append(self.doomed(data=other.file.data))
            if await errand.change(found.number, checks, puts, drops) is not None:
                if len(puts) > 1:
                    self.drop(errand.folder)
                return
        raise contended("/".join(names))

    async def set_attributes(self, errand, number, asked: sftp.Attributes) -> tuple[File, int]:
        """Changes attributes of a file by its id, its size among them; the row and its version."""
        key = layout.file_key(number)
        for attempt in range(CONFLICTS):
            await errand.apart(attempt)
            rows = (await errand.look(number, keys=[key])).rows
            if not rows:
                raise RequestRejectedError(sftp.NO_SUCH_FILE, "the file was removed")
            file, version = layout.unpack_file(rows[0].value), rows[0].version
            if asked.size is not None and asked.size != file.size:
                if file.kind == "d":
                    raise RequestRejectedError(sftp.FAILURE, "a directory has no size")
                if asked.size > layout.most_bytes(file.block):
                    raise RequestRejectedError(
                        sftp.FAILURE, f"a size of {asked.size} is over {layout.most_bytes(file.block)}"
                    )
                done = await self.resize(errand, number, file, version, asked.size)
                if done is None:
                    continue
                file, version = done
            changed = file._replace(
                mode=file.mode if asked.mode is None else asked.mode & 0o7777,
                uid=file.uid if asked.uid is None else asked.uid,
                gid=file.gid if asked.gid is None else asked.gid,
                mtime=file.mtime if asked.mtime is None else asked.mtime,
                atime=file.atime if asked.atime is None else asked.atime,
            )
            if changed == file:
                return file, version
            done = await errand.change(
                number, [{"key": key, "version": version}], [(key, layout.pack_file(changed))]
            )
            if done is not None:
                return changed, done[0].version
        raise contended("the file")

    async def resize(self, errand, number, file, version, size) -> tuple[File, int] | None:
        """Sets a size; what lies past it goes block by block from the end.  None: others changed it."""
        key = layout.file_key(number)
        while True:
            # A large file is cut in steps, each a whole change that leaves a shorter file.
            last = max(0, file.size - 1) // file.block
            first = max(size // file.block, last - STEP + 1)
            step = max(size, first * file.block) if size < file.size else size
            puts, drops, objects, checks = [], [], [], [{"key": key, "version": version}]
            if size < file.size:
                after, below = layout.blocks_of(file.data, first)
                rows = (await errand.look(number, after=after, below=below, most=STEP)).rows
                for row in rows:
                    extents = layout.unpack_block(row.value)
                    start = int(row.key.rsplit("/", 1)[1]) * file.block
                    left = layout.cut(extents, max(0, step - start))
                    if left == extents:
                        continue
                    checks.append({"key": row.key, "version": row.version})
                    objects += layout.dropped(extents, left)
                    if left:
                        puts.append((row.key, layout.pack_block(left)))
                    else:
                        drops.append(row.key)
            file = file._replace(size=step, mtime=self.wall())
            puts.insert(0, (key, layout.pack_file(file)))
            if objects:
                puts.append(self.doomed(objects=objects))
            done = await errand.change(number, checks, puts, drops)
            if done is None:
                return None
            if objects:
                self.drop(errand.folder)
            version = done[0].version
            if step == size:
                return file, version

    async def page(self, errand, number, after) -> tuple[list[tuple[str, str, File]], str]:
        """Up to PAGE entries (name, id, row) of a directory past the key `after` ("" : from the first), and
        the key to go on from ("" : that was all).
        """
        first, below = layout.entries_of(number)
        outcome = await errand.look(number, after=after or first, below=below, most=PAGE)
        if not outcome.rows:
            return [], ""
        numbers = [layout.unpack_entry(row.value)[0] for row in outcome.rows]
        rows = (await errand.look(number, keys=[layout.file_key(other) for other in numbers])).rows
        files = {row.key: layout.unpack_file(row.value) for row in rows}
        entries = [
            (row.key[len(first) :], other, files[layout.file_key(other)])
            for row, other in zip(outcome.rows, numbers)
            if layout.file_key(other) in files
        ]
        return entries, outcome.rows[-1].key if outcome.more else ""
