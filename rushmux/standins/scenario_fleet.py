"""The fleet of a fault scenario, real processes with proxies between them, and its verbs."""

import asyncio
import copy
import json
import random
import shutil
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rushmux.settings import policy as documents
from rushmux.settings.deployment import Deployment
from rushmux.standins.checker import EVERY_NODE
from rushmux.standins.fault_proxy import FaultProxies, matching_names
from rushmux.standins.fault_scenario import Scenario, Step
from rushmux.standins.loop_lag import LoopLagWatch
from rushmux.standins.processes import HOST, Part, ProcessFleet

NODE_UNIT_TIME = 0.002
"""Seconds of a node's core for a unit of work."""
POLL_INTERVAL = 0.1
START_TIMEOUT = 45.0
"""Seconds for every edge to serve under the policy."""
LEADER_POLLS, KILL_POLLS = 100, 300
"""Polls for a leader, and for a process that a step must kill first."""
TORN_BYTES = 3
"""Bytes cut off the end of a torn log."""
PLANNER_LETTERS = "abcde"
EDGE, NODE, PLANNER = "edge", "node", "planner"

Row = dict[str, Any]


class ScenarioFleet(ProcessFleet):
    """Planners, nodes and edges that reach each other through proxies."""

    def __init__(self, scenario: Scenario, file: Path, deployment: Deployment, folder: Path, seed: int):
        super().__init__(file, deployment, folder, seed, records=True, unit=NODE_UNIT_TIME)
        self.scenario, self.proxies = scenario, FaultProxies(random.Random(seed))
        self.planner_names = [f"{PLANNER}{letter}" for letter in PLANNER_LETTERS[: self._size("planners")]]
        self.planners: dict[str, Part] = {}
        self.killed: list[str] = []
        self.operator_commands: list[Row] = []
        self.stopped: dict[str, bool] = {}  # processes that were ever stopped
        lag_watch = LoopLagWatch(lambda since: self.record("stall", node=EVERY_NODE, since=since))
        self._lag_task = self.loop.create_task(lag_watch.run())

    def _size(self, name: str) -> int:
        return int(self.scenario.sizes[name])

    # Processes.

    async def start_planner(self, name: str, bootstrap: bool = False) -> None:
        """Starts a planner, which reaches the others through proxies.

        Args:
            name: Its name.
            bootstrap: Whether to create a log, as at the first start.
        """
        addresses = [f"{other}={HOST}:{await self.proxies.port(name, other)}" for other in self.planner_names]
        arguments = {
            "--deployment": self.file,
            "--cells": self.cells,
            "--name": name,
            "--planners": ",".join(addresses),
            "--data": self.folder / "data" / name / "planner.db",
        }
        self.planners[name] = part = await self.start_process(
            name, "planner", *_flatten(arguments), *(["--found"] if bootstrap else [])
        )
        self.proxies.targets[name] = part.port

    async def _proxied_planner_addresses(self, name: str) -> str:
        """The proxies' addresses at which a process reaches the planners."""
        return ",".join([f"{HOST}:{await self.proxies.port(name, other)}" for other in self.planner_names])

    async def start_node(self, name: str, cell: int, cold: bool = True) -> Part:
        """Starts a node, which edges reach through a proxy."""
        arguments = {
            "--deployment": self.file,
            "--name": name,
            "--cell": cell,
            "--unit": self.unit,
            "--lists": await self._proxied_planner_addresses(name),
            "--tell": f"{HOST}:{await self.proxies.port('edges', name)}",
            "--data": self.folder / "data" / f"{name}.db",
        }
        part = await self.start_process(
            name, "node", *_flatten(arguments), "--obeys", *(() if cold else ("--warm",))
        )
        part.cell, self.nodes[name] = cell, part
        self.proxies.targets[name] = part.port
        return part

    async def start_edge(self, number: int, port: int = 0) -> Part:
        """Starts an edge; `port` is its former port for a restart."""
        name = f"{EDGE}{number}"
        arguments = {
            "--listen": f"{HOST}:{port}",
            "--deployment": self.file,
            "--number": number,
            "--lists": await self._proxied_planner_addresses(name),
            "--data": self.folder / "data" / name,
        }
        self.edges[number] = await self.start_process(name, "edge", *_flatten(arguments))
        return self.edges[number]

    async def start(self, nodes: int, edges: int) -> None:
        """Starts all parts, with warm nodes, and waits until every edge serves under the policy."""
        self.cells = nodes
        await asyncio.gather(*(self.start_planner(name, True) for name in self.planner_names))
        await asyncio.gather(*(self.start_node(f"{NODE}{cell}", cell, cold=False) for cell in range(nodes)))
        await asyncio.gather(*(self.start_edge(number) for number in range(edges)))
        async with asyncio.timeout(START_TIMEOUT):
            while not all(self._is_serving(part) for part in self.edges.values()):
                await asyncio.sleep(POLL_INTERVAL)

    def _is_serving(self, edge: Part) -> bool:
        rows = self._policy_states(edge)
        return any(row["serves"] and not row["narrow"] for row in rows)

    async def stop(self) -> None:
        """Resumes and stops all processes, and closes the proxies."""
        self._lag_task.cancel()
        for parts in (self.edges.values(), self.nodes.values(), self.planners.values()):
            for part in parts:
                if part.process.returncode is None:
                    part.process.send_signal(signal.SIGCONT)
            await asyncio.gather(*(self.stop_process(part) for part in parts))
        await self.proxies.close()

    @property
    def planner_addresses(self) -> tuple[tuple[str, int], ...]:
        """The planners' own addresses, for operators."""
        return tuple((HOST, part.port) for part in self.planners.values())

    # Recordings.

    def _rows_of(self, part: Part) -> list[Row]:
        """The rows that a process has recorded so far."""
        path = self.folder / "records" / (part.log.stem + ".jsonl")
        lines = path.read_bytes().splitlines(keepends=True) if path.exists() else ()
        return [json.loads(line) for line in lines if line.endswith(b"\n")]

    def _policy_states(self, edge: Part) -> list[Row]:
        return [row for row in self._rows_of(edge) if row["kind"] == "goes_by"]

    def applied_commands(self) -> list[Row]:
        """The commands that planners have applied."""
        rows = (row for part in self.planners.values() for row in self._rows_of(part))
        return [row for row in rows if row["kind"] == "decided"]

    async def _leader(self) -> str:
        """Waits for a leader among the planners; returns its name."""
        for _ in range(LEADER_POLLS):
            for name, part in self.planners.items():
                if part.process.returncode is None and self._claims_leadership(part):
                    return name
            await asyncio.sleep(POLL_INTERVAL)
        raise TimeoutError("no planner became leader")

    def _claims_leadership(self, planner: Part) -> bool:
        rows = [row for row in self._rows_of(planner) if row["kind"] == "leads"]
        return bool(rows) and rows[-1]["leads"]

    def is_settled(self) -> bool:
        """Whether every running edge applies the last decided version, and no change is staged."""
        applied = sorted(self.applied_commands(), key=lambda row: row["index"])
        if not applied or applied[-1]["staged"]:
            return False
        version = applied[-1]["force"]
        running = (part for part in self.edges.values() if part.process.returncode is None)
        return all(self._applies(part, version) for part in running)

    def _applies(self, edge: Part, version: int) -> bool:
        rows = self._policy_states(edge)
        return bool(rows) and rows[-1]["number"] == version and not rows[-1]["narrow"]

    # Names in steps.

    async def _resolve(self, word: str) -> str:
        """The name of the process that a word means.

        `last` waits for a kill, which may come late on a busy machine.
        """
        if word == "leader":
            return await self._leader()
        if word != "last":
            return word
        for _ in range(KILL_POLLS):
            if self.killed:
                return self.killed[-1]
            await asyncio.sleep(POLL_INTERVAL)
        raise TimeoutError("no process was killed")

    def _part(self, name: str) -> Part:
        for parts in (self.planners, self.nodes):
            if name in parts:
                return parts[name]
        return self.edges[_number(name, EDGE)]

    def _all_named(self, words: str) -> list[str]:
        known = [*self.planner_names, *self.nodes, *(f"{EDGE}{number}" for number in self.edges)]
        return [name for word in words.split(",") for name in matching_names(word, known)]

    def _disk(self, name: str) -> list[Path]:
        """The files and folders of a process's data."""
        data = self.folder / "data"
        if name.startswith(NODE):
            return [data / f"{name}.db", data / f"{name}.db-wal"]
        return [data / name]

    # Verbs.

    async def run_step(self, step: Step) -> None:
        """Records and runs a step."""
        self.record("deed", verb=step.verb, words=step.words)
        await getattr(self, f"_do_{step.verb}")(*step.words)

    async def _do_propose(self, *words: str) -> None:
        raw, options, label = copy.deepcopy(self.deployment.raw), {}, ""
        remaining = iter(words)
        for word in remaining:
            if word == "base":
                options["base"] = int(next(remaining))
            elif word == "as":
                label = next(remaining)
            else:
                place, _, value = word.partition("=")
                _set_value(raw, place, json.loads(value))
        await self.send_policy_command(label, "propose", text=documents.serialize(raw), **options)

    async def _do_withdraw(self, number: str) -> None:
        await self.send_policy_command(f"w{number}", "withdraw", number=int(number))

    async def _do_revert(self, number: str, _as: str = "as", label: str = "") -> None:
        await self.send_policy_command(label, "revert", number=int(number))

    async def _do_forget(self, member: str) -> None:
        await self.send_policy_command(f"f{member}", "forget", member=member)

    async def _do_kill(self, word: str) -> None:
        name = await self._resolve(word)
        part = self._part(name)
        self.killed.append(name)
        if name.startswith(EDGE):
            self.record("killed", edge=name, start=part.start)
        elif name.startswith(NODE):
            self.record("killed", node=name)
        part.process.kill()
        await part.process.wait()

    async def _do_image(self, name: str) -> None:
        """Copies a process's data to an image, for a later start."""
        for path in self._disk(name):
            if path.exists():
                image = self.folder / "images" / path.name
                shutil.rmtree(image, ignore_errors=True)
                image.parent.mkdir(exist_ok=True)
                _copy(path, image)

    async def _do_start(self, word: str, disk: str = "") -> None:
        """Starts a killed process on its disk, an image, an empty disk or a torn log."""
        name = await self._resolve(word)
        self.killed = [other for other in self.killed if other != name]
        for path in self._disk(name):
            if disk in ("image", "empty"):
                _remove(path)
            image = self.folder / "images" / path.name
            if disk == "image" and image.exists():
                _copy(image, path)
            if disk == "torn":
                log = path / "planner.db.log"
                log.write_bytes(log.read_bytes()[:-TORN_BYTES])
        if name.startswith(PLANNER):
            await self.start_planner(name)
        elif name.startswith(NODE):
            await self.start_node(name, _number(name, NODE))
        else:
            number = _number(name, EDGE)
            await self.start_edge(number, self.edges[number].port)

    async def _do_stop(self, word: str, seconds: str) -> None:
        part = self._part(await self._resolve(word))
        self.stopped[part.name] = True
        part.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(float(seconds))
        if part.process.returncode is None:
            part.process.send_signal(signal.SIGCONT)

    async def _do_full(self, name: str, seconds: str) -> None:
        """Makes an edge's writes fail, with a folder in the place of its temporary file."""
        obstacle = self.folder / "data" / name / "policy.kept.new"
        obstacle.mkdir()
        await asyncio.sleep(float(seconds))
        obstacle.rmdir()

    async def _do_cut(self, sources: str, _from: str, targets: str, seconds: str) -> None:
        leader = await self._leader() if "leader" in (sources, targets) else ""
        sources, targets = (leader if word == "leader" else word for word in (sources, targets))
        if targets == "others":
            cut_off = self._all_named(sources)
            targets = ",".join(name for name in self._all_named("planners") if name not in cut_off)
        one, other = self._all_named(sources), self._all_named(targets)
        await self._block([(one, other), (other, one)], float(seconds))

    async def _do_mute(self, sources: str, _to: str, targets: str, seconds: str) -> None:
        await self._block([(self._all_named(sources), self._all_named(targets))], float(seconds))

    async def _block(self, pairs: Sequence[tuple[list[str], list[str]]], seconds: float) -> None:
        for sources, targets in pairs:
            self.proxies.block(sources, [name for name in targets if name not in sources])
        await asyncio.sleep(seconds)
        for sources, targets in pairs:
            self.proxies.heal(sources, targets)

    async def _do_delay(
        self, sources: str, _to: str, targets: str, shortest: str, longest: str, seconds: str
    ) -> None:
        for source in self._all_named(sources):
            for target in self._all_named(targets):
                self.proxies.link(source, target).delay = float(shortest), float(longest)
        await asyncio.sleep(float(seconds))
        self.proxies.heal(self._all_named(sources), self._all_named(targets))

    async def _do_refuse(self, sources: str, _to: str, targets: str, seconds: str) -> None:
        for source in self._all_named(sources):
            for target in self._all_named(targets):
                self.proxies.refuse(source, target)
        await asyncio.sleep(float(seconds))
        self.proxies.heal(self._all_named(sources), self._all_named(targets))

    async def _do_reset(self, sources: str, _from: str, targets: str, size: str) -> None:
        for source in self._all_named(sources):
            for target in self._all_named(targets):
                self.proxies.link(source, target).reset_after = int(size)


def _flatten(arguments: dict[str, Any]) -> list[Any]:
    """Options and values as command line arguments."""
    return [word for option in arguments.items() for word in option]


def _number(name: str, kind: str) -> int:
    return int(name.removeprefix(kind))


def _set_value(raw: dict, path: str, value: Any) -> None:
    """Sets a value of a deployment by its path, such as `/plans/basico/limit`."""
    *inner, last = path.strip("/").split("/")
    target = raw
    for step in inner:
        target = target[int(step)] if isinstance(target, list) else target.setdefault(step, {})
    target[last] = value


def _copy(source: Path, target: Path) -> None:
    if source.is_dir():
        shutil.copytree(source, target)
    else:
        shutil.copy(source, target)


def _remove(path: Path) -> None:
    if path.is_dir():
        shutil.rmtree(path, ignore_errors=True)
    else:
        path.unlink(missing_ok=True)
