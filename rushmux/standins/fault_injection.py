"""The fault rig: real processes of the program, relays between them, a story of what happens, and its judge.

A story is lines of text (`stories/*.txt`).  `planners 3`, `edges 3`, `nodes 2`, `length 30`, `limit 60`,
`load 0.3` state the fleet.  `at TIME VERB …` is done at a time, `on KIND VERB …` when the first planner has
decided an entry of that kind (`on propose after 0.3 kill leader`).  Verbs:

    propose PLACE=VALUE … [base N] [as WORD]   withdraw N   revert N [as WORD]   forget MEMBER
    kill NAME   stop NAME SECONDS   start NAME [image|empty|torn]   image NAME   full NAME SECONDS
    cut NAMES from NAMES SECONDS   mute NAMES to NAMES SECONDS   delay NAMES to NAMES LEAST MOST SECONDS
    refuse NAMES to NAMES SECONDS   reset NAME from NAME BYTES

`leader` is the planner that leads then, `last` what was killed last.
`expect WORD decided|ended|withdrawn|refused [text]` says how a change has to end, `expect force N` what is in
force at the end.
"""

import asyncio
import copy
import json
import random
import shutil
import signal
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from rushmux.settings import policy as documents
from rushmux.settings.deployment import Deployment, build
from rushmux.standins import scenario as days
from rushmux.standins.fault_proxy import Relays
from rushmux.standins.policy_history_checker import check_history
from rushmux.standins.processes import HOST, NotStarted, ProcessFleet
from rushmux.standins.script import Event, Script

STORIES = Path(__file__).with_name("stories")
EXAMPLE = Path(documents.__file__).with_name("example.json")
LOOK = 0.02  # seconds between two looks at what was decided
MOST_LINES = 500
SETTLE = 25.0  # seconds at the end in which all must come to one number
SURGED = "caribe"  # a folder with a limit that is asked for more than it allows


class BadStory(Exception):
    """A line that means nothing; the text names it."""


class Deed(NamedTuple):
    """`at`: seconds after the clients began; or `on` a kind of entry, and so many seconds after it."""

    at: float
    on: str
    verb: str
    words: tuple[str, ...]


class Story(NamedTuple):
    name: str
    sizes: dict[str, float]
    deeds: tuple[Deed, ...]
    expects: tuple[tuple[str, ...], ...]


SIZES = {"planners": 3, "edges": 3, "nodes": 2, "length": 25.0, "limit": 60.0, "load": 0.15, "surge": 16.0}
VERBS = (
    "propose",
    "withdraw",
    "revert",
    "forget",
    "kill",
    "stop",
    "start",
    "image",
    "full",
    "cut",
    "mute",
    "delay",
    "refuse",
    "reset",
)


def parse(text: str, name="story") -> Story:
    """The story that a text tells; BadStory with the line and what is wrong in it."""
    sizes, deeds, expects = dict(SIZES), [], []
    for number, line in enumerate(text.splitlines()[:MOST_LINES], 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            if words[0] in SIZES and len(words) == 2:
                sizes[words[0]] = type(SIZES[words[0]])(words[1])
            elif words[0] == "expect" and len(words) > 2:
                expects.append(tuple(words[1:]))
            elif words[0] in ("at", "on"):
                at, on, rest = 0.0, "", words[2:]
                if words[0] == "at":
                    at = float(words[1])
                else:
                    on = words[1]
                if on and rest[0] == "after":
                    at, rest = float(rest[1]), rest[2:]
                if rest[0] not in VERBS:
                    raise ValueError(f"there is no verb '{rest[0]}'")
                deeds.append(Deed(at, on, rest[0], tuple(rest[1:])))
            else:
                raise ValueError("no line of this form")
        except (ValueError, IndexError) as fault:
            raise BadStory(f"{name}, line {number}: {line.strip()}: {fault}") from fault
    return Story(name, sizes, tuple(deeds), tuple(expects))


def load(name) -> Story:
    """A story of the collection by its name, or a file by its path."""
    path = STORIES / f"{name}.txt"
    path = path if path.exists() else Path(name)
    try:
        return parse(path.read_text(), path.stem)
    except OSError as fault:
        raise BadStory(f"{path}: cannot be read: {fault.strerror}") from fault


def names() -> list[str]:
    return sorted(path.stem for path in STORIES.glob("*.txt"))


def stated(story: Story) -> dict:
    """The deployment of a story: the example, with a policy in common and a limit that binds."""
    raw, edges = json.loads(EXAMPLE.read_text()), story.sizes["edges"]
    raw["fleet"].update(gateways=edges, policy=True)
    raw["plans"]["basico"].update(limit=story.sizes["limit"], burst=2 * story.sizes["limit"])
    return raw


class Rig(ProcessFleet):
    """The fleet of a story."""

    def __init__(self, story: Story, file, deployment: Deployment, folder, seed):
        super().__init__(file, deployment, folder, seed, records=True, unit=0.002)
        self.story, self.relays = story, Relays(random.Random(seed))
        self.planners, self.killed, self.images, self.operator_commands = {}, [], {}, []
        self.stopped = {}  # edge -> whether it ever stood still

    async def start_planner(self, name, found=False):
        """Starts a planner; the others are known to it through relays."""
        parts = [f"{other}={HOST}:{await self.relays.port(name, other)}" for other in self.planner_names]
        self.planners[name] = part = await self.begin(
            name,
            "planner",
            "--deployment",
            self.file,
            "--cells",
            self.cells,
            "--name",
            name,
            "--planners",
            ",".join(parts),
            "--data",
            self.folder / "data" / name / "planner.db",
            *(["--found"] if found else []),
        )
        self.relays.targets[name] = part.port

    async def listed(self, name):
        """Where a part finds the planners, through relays."""
        return ",".join([f"{HOST}:{await self.relays.port(name, other)}" for other in self.planner_names])

    async def node(self, name, cell, cold=True):
        told = await self.relays.port("edges", name)
        part = await self.begin(
            name,
            "node",
            "--deployment",
            self.file,
            "--name",
            name,
            "--cell",
            cell,
            "--unit",
            self.unit,
            "--lists",
            await self.listed(name),
            "--obeys",
            "--tell",
            f"{HOST}:{told}",
            "--data",
            self.folder / "data" / f"{name}.db",
            *(() if cold else ("--warm",)),
        )
        part.cell, self.nodes[name] = cell, part
        self.relays.targets[name] = part.port
        return part

    async def edge(self, number, port=0):
        name = f"edge{number}"
        self.edges[number] = await self.begin(
            name,
            "edge",
            "--listen",
            f"{HOST}:{port}",
            "--deployment",
            self.file,
            "--number",
            number,
            "--lists",
            await self.listed(name),
            "--data",
            self.folder / "data" / name,
        )
        return self.edges[number]

    async def up(self, nodes, edges):
        self.cells = nodes
        self.planner_names = [f"planner{letter}" for letter in "abcde"[: self.story.sizes["planners"]]]
        await asyncio.gather(*(self.start_planner(name, True) for name in self.planner_names))
        await asyncio.gather(*(self.node(f"node{cell}", cell, cold=False) for cell in range(nodes)))
        await asyncio.gather(*(self.edge(number) for number in range(edges)))
        async with asyncio.timeout(45):
            while not all(
                any(
                    row["kind"] == "goes_by" and row["serves"] and not row["narrow"]
                    for row in self.rows_of(part)
                )
                for part in self.edges.values()
            ):
                await asyncio.sleep(0.1)

    def rows_of(self, part):
        """What a part recorded so far."""
        path = self.folder / "records" / (part.log.stem + ".jsonl")
        lines = path.read_bytes().splitlines(keepends=True) if path.exists() else ()
        return [json.loads(line) for line in lines if line.endswith(b"\n")]

    def decided(self):
        return [
            row for part in self.planners.values() for row in self.rows_of(part) if row["kind"] == "decided"
        ]

    @property
    def places(self):
        return tuple((HOST, part.port) for part in self.planners.values())

    async def leader(self) -> str:
        """The planner that leads."""
        for _ in range(100):
            for name, part in self.planners.items():
                if part.process.returncode is None:
                    rows = [row for row in self.rows_of(part) if row["kind"] == "leads"]
                    if rows and rows[-1]["leads"]:
                        return name
            await asyncio.sleep(0.1)
        raise TimeoutError("no planner leads")

    async def name(self, word):
        """A part's name; `last` waits for what is to be killed first, on a busy machine later than its start."""
        for _ in range(300 if word == "last" else 0):
            if self.killed:
                return self.killed[-1]
            await asyncio.sleep(0.1)
        if word == "last":
            raise TimeoutError("nothing was killed that could be started")
        return await self.leader() if word == "leader" else word

    def part(self, name):
        for parts in (self.planners, self.nodes):
            if name in parts:
                return parts[name]
        return self.edges[int(name[4:])]

    def all_named(self, words):
        known = [*self.planner_names, *self.nodes, *(f"edge{number}" for number in self.edges)]
        return [name for word in words.split(",") for name in self.relays.named(word, known)]

    # Verbs.

    async def do(self, deed: Deed):
        self.record("deed", verb=deed.verb, words=deed.words)
        await getattr(self, f"do_{deed.verb}")(*deed.words)

    async def do_propose(self, *words):
        raw, more, word = copy.deepcopy(self.deployment.raw), {}, ""
        rest = list(words)
        while rest:
            part = rest.pop(0)
            if part == "base":
                more["base"] = int(rest.pop(0))
            elif part == "as":
                word = rest.pop(0)
            else:
                place, _, value = part.partition("=")
                *inner, last = place.strip("/").split("/")
                target = raw
                for step in inner:
                    target = target[int(step)] if isinstance(target, list) else target.setdefault(step, {})
                target[last] = json.loads(value)
        await self.send_policy_command(word, "propose", text=documents.text(raw), **more)

    async def do_withdraw(self, number):
        await self.send_policy_command(f"w{number}", "withdraw", number=int(number))

    async def do_revert(self, number, *more):
        await self.send_policy_command(more[1] if more else "", "revert", number=int(number))

    async def do_forget(self, member):
        await self.send_policy_command(f"f{member}", "forget", member=member)

    async def do_kill(self, word):
        name = await self.name(word)
        part = self.part(name)
        self.killed.append(name)
        if name.startswith("edge"):
            self.record("killed", edge=name, start=part.start)
        elif name.startswith("node"):
            self.record("killed", node=name)
        part.process.kill()
        await part.process.wait()

    def disk(self, name):
        data = self.folder / "data"
        return [data / f"{name}.db", data / f"{name}.db-wal"] if name.startswith("node") else [data / name]

    async def do_image(self, name):
        """Keeps what a disk holds now, as an image that may be put back."""
        for path in self.disk(name):
            if path.exists():
                to = self.folder / "images" / path.name
                shutil.rmtree(to, ignore_errors=True)
                to.parent.mkdir(exist_ok=True)
                (shutil.copytree if path.is_dir() else shutil.copy)(path, to)

    async def do_start(self, word, how=""):
        name = await self.name(word)
        self.killed = [other for other in self.killed if other != name]
        for path in self.disk(name):
            if how in ("image", "empty"):
                shutil.rmtree(path, ignore_errors=True) if path.is_dir() else path.unlink(missing_ok=True)
            kept = self.folder / "images" / path.name
            if how == "image" and kept.exists():
                (shutil.copytree if kept.is_dir() else shutil.copy)(kept, path)
            if how == "torn":
                log = path / "planner.db.log"
                log.write_bytes(log.read_bytes()[:-3])
        if name.startswith("planner"):
            await self.start_planner(name)
        elif name.startswith("node"):
            await self.node(name, int(name[4:]))
        else:
            await self.edge(int(name[4:]), self.edges[int(name[4:])].port)

    async def do_stop(self, word, seconds):
        part = self.part(await self.name(word))
        self.stopped[part.name] = True
        part.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(float(seconds))
        if part.process.returncode is None:
            part.process.send_signal(signal.SIGCONT)

    async def do_full(self, name, seconds):
        """An edge's disk takes nothing: what it would write first is in the way."""
        way = self.folder / "data" / name / "policy.kept.new"
        way.mkdir()
        await asyncio.sleep(float(seconds))
        way.rmdir()

    async def between(self, sources, targets, seconds, both):
        pairs = [(self.all_named(sources), self.all_named(targets))]
        pairs += [pairs[0][::-1]] if both else []
        for one, other in pairs:
            self.relays.block([name for name in one], [name for name in other if name not in one])
        await asyncio.sleep(float(seconds))
        for one, other in pairs:
            self.relays.heal(one, other)

    async def do_cut(self, sources, _, targets, seconds):
        leader = await self.leader() if "leader" in (sources, targets) else ""
        sources, targets = (leader if word == "leader" else word for word in (sources, targets))
        if targets == "others":
            gone = self.all_named(sources)
            targets = ",".join(name for name in self.all_named("planners") if name not in gone)
        await self.between(sources, targets, seconds, True)

    async def do_mute(self, sources, _, targets, seconds):
        await self.between(sources, targets, seconds, False)

    async def do_delay(self, sources, _, targets, least, most, seconds):
        for one in self.all_named(sources):
            for other in self.all_named(targets):
                self.relays.way(one, other).delay = float(least), float(most)
        await asyncio.sleep(float(seconds))
        self.relays.heal(self.all_named(sources), self.all_named(targets))

    async def do_refuse(self, sources, _, targets, seconds):
        for one in self.all_named(sources):
            for other in self.all_named(targets):
                self.relays.refused[one, other] = True
                self.relays.reset(one, other)
        await asyncio.sleep(float(seconds))
        self.relays.heal(self.all_named(sources), self.all_named(targets))

    async def do_reset(self, source, _, target, size):
        for one in self.all_named(source):
            for other in self.all_named(target):
                self.relays.way(one, other).resets_at = int(size)

    # The story.

    async def tell(self):
        """Plays it beside the clients' work; returned when all has settled or the time for it is over."""
        begun, tasks = self.loop.time(), []
        timed = sorted((deed for deed in self.story.deeds if not deed.on), key=lambda deed: deed.at)
        waiting = [deed for deed in self.story.deeds if deed.on]
        sizes = self.story.sizes
        surge = Event(0.1, "surge", SURGED, size=sizes["surge"], seconds=sizes["length"])
        script = Script(sizes["length"], (surge,))
        clients = self.loop.create_task(days.play(self, script, days.Load(sizes["load"]), 7))
        known = {(row["index"], row["order"]) for row in self.decided()} if waiting else set()
        while timed or waiting or self.loop.time() - begun < self.story.sizes["length"]:
            now = self.loop.time() - begun
            while timed and timed[0].at <= now:
                tasks.append(self.loop.create_task(self.do(timed.pop(0))))
            if waiting:
                for row in self.decided():
                    if (row["index"], row["order"]) not in known:
                        known.add((row["index"], row["order"]))
                        for deed in [deed for deed in waiting if deed.on == row["order"]]:
                            waiting.remove(deed)
                            tasks.append(self.loop.create_task(self.later(deed)))
            if now > self.story.sizes["length"] + SETTLE:
                break
            await asyncio.sleep(LOOK)
        for found in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(found, Exception):
                raise found
        await clients
        until = self.loop.time() + SETTLE
        while self.loop.time() < until and not self.settled():
            await asyncio.sleep(0.2)

    async def later(self, deed):
        await asyncio.sleep(deed.at)
        await self.do(deed)

    def settled(self):
        """Whether every edge that runs goes by the number decided last, and nothing is under way."""
        decided = sorted(self.decided(), key=lambda row: row["index"])
        if not decided or decided[-1]["staged"]:
            return False
        for part in self.edges.values():
            rows = [row for row in self.rows_of(part) if row["kind"] == "goes_by"]
            if part.process.returncode is None and (
                not rows or rows[-1]["number"] != decided[-1]["force"] or rows[-1]["narrow"]
            ):
                return False
        return True

    async def down(self):
        for parts in (self.edges.values(), self.nodes.values(), self.planners.values()):
            for part in parts:
                if part.process.returncode is None:
                    part.process.send_signal(signal.SIGCONT)
            await asyncio.gather(*(self.end_one(part) for part in parts))
        await self.relays.close()


class Told(NamedTuple):
    """What became of a story: breaches (none: it passed) and counts for the reader."""

    story: str
    breaches: list[str]
    facts: Counter


async def played(story: Story, folder, seed=1) -> Told:
    """Plays a story on processes whose data, logs and recordings lie in `folder`."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    raw = stated(story)
    file = folder / "deployment.json"
    file.write_text(json.dumps(raw, indent=2))
    deployment = build(raw)
    rig = Rig(story, file, deployment, folder, seed)
    try:
        await rig.up(story.sizes["nodes"], story.sizes["edges"])
        await rig.tell()
        settled = rig.settled()
    finally:
        await rig.down()
    breaches, facts = check_history(
        rig.all_records(), deployment, story.expects, rig.operator_commands, rig.stopped
    )
    if not settled:
        breaches.append(f"not all came to one number within {SETTLE:g} s")
    return Told(story.name, breaches, facts)


async def together(
    stories, folder: Path, jobs: int, seed: int, say=lambda line: None, facts=False
) -> list[Told]:
    """Plays stories, so many at a time, each in a folder of its own; `say` hears of each as it ends."""
    turn = asyncio.Semaphore(jobs)

    async def one(story):
        async with turn:
            try:
                found = await played(story, folder / story.name, seed)
            except (NotStarted, TimeoutError, OSError) as fault:
                why = f"it could not be played: {type(fault).__name__}: {fault}"
                found = Told(story.name, [why], Counter())
            say(f"{story.name}: " + ("kept" if not found.breaches else "; ".join(found.breaches)))
            if facts:
                say("  " + ", ".join(f"{name} {count}" for name, count in found.facts.items()))
            return found

    return list(await asyncio.gather(*(one(story) for story in stories)))
