"""Randomized runs of a gateway process, checked from outside.

A seed determines the settings, the nodes' responses, clients that disconnect, pipeline or stay idle, drains,
outages of nodes and discovery, and signals.  `gateway_soak_judge` checks what clients and nodes observed.
"""

import asyncio
import contextlib
import os
import random
import signal
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from rushmux.standins.gateway_soak_judge import (
    ANSWER_SLACK,
    Attempt,
    Request,
    Scenario,
    Settings,
    Signals,
    check_log,
    check_requests,
)
from rushmux.standins.loop_lag import LoopLagWatch
from rushmux.standins.platform import (
    FakeClient,
    FakeDiscovery,
    FakeNode,
    configuration,
    option_of,
    read_command,
    success_reply,
    write_command,
)
from rushmux.standins.platform.gateway_process import GATEWAY_ARGUMENTS, GatewayProcess, free_gateway_port

READY_TIMEOUT = 10.0
"""Seconds from the start to the first PONG."""
MAX_SHUTDOWN_DEADLINE, KILL_GRACE = 3.0, 0.7
"""Seconds from SIGTERM to SIGKILL: the deadline, capped at the first, plus the second."""
NODE_IDLE_TIMEOUT = 0.6
"""Seconds after which nodes close idle connections (`ConnIdle`)."""
LOAD_TIME = 2.5
NEW_CONNECTIONS_TIME = 0.4
"""Seconds after SIGTERM during which clients may open new connections."""
PIPELINE_LENGTHS = (1, 1, 1, 2, 5, 100)
"""Requests that a client sends at once, drawn evenly; more than 64 of a connection wait in the gateway."""
PROMPT_PROBABILITY, DISCONNECT_PROBABILITY = 0.6, 0.06
"""Of an immediate reply by a healthy node; of a client that leaves with requests pending."""
EXIT_CODES_AFTER_SIGTERM = (0, -signal.SIGKILL, -signal.SIGTERM, -signal.SIGHUP)
"""Exit codes that are no crash: a second signal may come after the event loop is closed and its handlers are
removed, when nothing is open."""
BUSY, FAILED = b"-BUSY\r\n", b"-ERR failed\r\n"


@dataclass
class Outcome:
    """The result of a run, with the numbers of requests sent and answered."""

    settings: Settings
    requests: int
    answered: int
    breaches: list[str]


def draw_settings(rng: random.Random) -> Settings:
    """Draws the settings of a run."""
    scenario = rng.choice(list(Scenario))
    deadline = rng.choice((0.2, 0.5, 1.0, 2.0, 5.0))
    crowd = scenario is Scenario.CROWD
    return Settings(
        scenario=scenario,
        signals=rng.choice(list(Signals)),
        deadline=deadline,
        dedup_window=rng.choice((0.3, deadline, 3.0)),
        write_idempotency=rng.choice(("safe", "keyed", "unsafe")),
        node_count=rng.randint(2, 4),
        client_count=rng.randint(3, 8),
        sockets=96 if crowd else 256,
        idle_clients=60 if crowd else 0,
        checks_descriptors=rng.random() < 1 / 2,
    )


class SoakRun:
    """One randomized run.

    Args:
        seed: Seeds all random draws.
        folder: Directory for the configuration file.
        arguments: Interpreter arguments that start the gateway.
    """

    def __init__(self, seed: int, folder: Path, arguments: Iterable[str] = GATEWAY_ARGUMENTS):
        self.settings = draw_settings(random.Random(f"soak {seed}"))
        # Separate generators: how often nodes and clients draw depends on timing.
        self.rng = random.Random(f"soak {seed} course")
        self._node_rng = random.Random(f"soak {seed} nodes")
        self.breaches: list[str] = []
        self._gateway = GatewayProcess("n0", folder / "config.json", 0, tuple(arguments))
        self._requests: dict[int, Request] = {}
        self._nodes = {f"s{cell}": FakeNode() for cell in range(self.settings.node_count)}
        self._discovery = FakeDiscovery()
        self._drained_at: dict[str, float] = {}
        self._tasks: list[asyncio.Task] = []
        self._lag_watch = LoopLagWatch()
        self._clients_active = True
        self._new_connections_until = float("inf")

    async def run(self) -> Outcome:
        """Executes the run and checks what was observed."""
        self._loop = asyncio.get_running_loop()
        lag_task = self._loop.create_task(self._lag_watch.run())
        await self._open_stand_ins()
        await self._gateway.start()
        process = self._gateway.process
        try:
            if self.settings.scenario is Scenario.BEFORE_FIRST_LIST:
                await self._stop_before_first_list(process)
            else:
                await self._load_and_stop(process)
        finally:
            await self._gateway.end()
            lag_task.cancel()
            self._close_stand_ins()
        breaches = check_requests(
            list(self._requests.values()), self.settings, self._drained_at, self._lag_watch.longest
        )
        self.breaches += breaches + check_log(self._gateway.log.decode(errors="replace"))
        answered = sum(request.replied_at is not None for request in self._requests.values())
        return Outcome(self.settings, len(self._requests), answered, self.breaches)

    # Gateway and stand-ins.

    async def _open_stand_ins(self) -> None:
        await self._discovery.open()
        for cell, (name, node) in enumerate(self._nodes.items()):
            node.script = self._node_script(name)
            await node.open()
            self._discovery.update(node.row(name, cell))
        self._discovery.is_silent = self.settings.scenario is Scenario.BEFORE_FIRST_LIST
        self._gateway.port = free_gateway_port()
        self._write_configuration()

    def _write_configuration(self) -> None:
        settings = self.settings
        raw = configuration(
            self._discovery.port,
            list(self._discovery.rows.values()),
            self._gateway.port,
            sockets=settings.sockets,
            deadline=round(settings.deadline * 1000),
            objective=round(settings.deadline * 400),
            dedup_window=round(settings.dedup_window * 1000),
            write_idempotency=settings.write_idempotency,
            ConnIdle=round(NODE_IDLE_TIMEOUT * 1e9),
        )
        self._gateway.write_configuration(raw)

    def _close_stand_ins(self) -> None:
        self._discovery.close()
        for node in self._nodes.values():
            node.close()

    def _node_script(self, name: str):
        """Returns a script that records each attempt and draws its response."""

        def script(arguments: list[bytes]) -> list:
            request = self._requests.get(int(arguments[2], 16))
            response = self._draw_response()
            if request is None:
                self.breaches.append(f"{name} received the command {arguments[2]!r}, which no client sent")
                return response
            may_have_run = response[-1] != BUSY
            time_told = int(option_of(arguments, "d")) / 1000
            request.attempts.append(Attempt(self._loop.time(), name, may_have_run, time_told))
            return response

        return script

    def _draw_response(self) -> list:
        rng = self._node_rng
        draw = rng.random()
        if self.settings.scenario is not Scenario.NODES:
            return [success_reply()] if draw < PROMPT_PROBABILITY else [rng.uniform(0, 0.1), success_reply()]
        reply = success_reply()
        responses = (
            [reply],
            [rng.uniform(0, 0.3), reply],
            [BUSY],
            [FAILED],
            ["hang"],
            ["close"],
            [reply[: rng.randrange(1, len(reply))], "close"],
            [reply, rng.uniform(0, 0.01), reply],
        )
        return rng.choices(responses, (40, 20, 8, 8, 6, 8, 5, 5))[0]

    # Steps of a run.

    async def _stop_before_first_list(self, process: asyncio.subprocess.Process) -> None:
        until = self._loop.time() + READY_TIMEOUT
        while not self._discovery.requests and self._loop.time() < until and process.returncode is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        await self._send_signals(process)
        await self._wait_for_exit(process)

    async def _load_and_stop(self, process: asyncio.subprocess.Process) -> None:
        if not await self._gateway.is_ready(READY_TIMEOUT):
            self.breaches.append(f"the gateway was not ready within {READY_TIMEOUT:g} s")
            return
        descriptors = self._count_descriptors(process)
        idle = [await FakeClient().open(self._gateway.port) for _ in range(self.settings.idle_clients)]
        clients = self._start_clients(self.settings.client_count)
        faults = self._loop.create_task(self._inject_faults())
        await asyncio.sleep(LOAD_TIME)
        await faults
        if self.settings.checks_descriptors:
            await self._check_descriptors(process, clients, idle, descriptors)
            self._clients_active = True
            clients = self._start_clients(2)
            await asyncio.sleep(0.3)
        await self._send_signals(process)
        await self._wait_for_exit(process)
        await asyncio.gather(*clients, *self._tasks)
        for client in idle:
            client.close()

    def _start_clients(self, count: int) -> list[asyncio.Task]:
        return [self._loop.create_task(self._client(self.rng.random())) for _ in range(count)]

    async def _check_descriptors(
        self,
        process: asyncio.subprocess.Process,
        clients: list[asyncio.Task],
        idle: list[FakeClient],
        before: int,
    ) -> None:
        """Checks that without clients no more descriptors are open than before the load."""
        self._clients_active = False
        await asyncio.gather(*clients)
        for client in idle:
            client.close()
        until = self._loop.time() + NODE_IDLE_TIMEOUT + self.settings.deadline + 2
        while self._count_descriptors(process) > before and self._loop.time() < until:
            await asyncio.sleep(0.1)
        after = self._count_descriptors(process)
        if after > before:
            self.breaches.append(f"{after} descriptors are open without clients, {before} before the load")

    @staticmethod
    def _count_descriptors(process: asyncio.subprocess.Process) -> int:
        return len(os.listdir(f"/proc/{process.pid}/fd"))

    async def _send_signals(self, process: asyncio.subprocess.Process) -> None:
        signals = self.settings.signals
        if signals is Signals.BAD_HUP_TERM:
            self._gateway.file.write_text('{"name": ')
        numbers = [getattr(signal, f"SIG{word}") for word in signals.split() if word in ("HUP", "TERM")]
        terminated_at = None
        for number in numbers:
            if terminated_at is None and process.returncode is not None:
                self.breaches.append(f"the gateway exited with code {process.returncode} before SIGTERM")
            with contextlib.suppress(ProcessLookupError):  # the process has exited
                process.send_signal(number)
            if number == signal.SIGTERM and terminated_at is None:
                terminated_at = self._loop.time()
                self._new_connections_until = terminated_at + NEW_CONNECTIONS_TIME
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        self._kill_at = terminated_at + min(self.settings.deadline, MAX_SHUTDOWN_DEADLINE) + KILL_GRACE

    async def _wait_for_exit(self, process: asyncio.subprocess.Process) -> None:
        """Waits for the exit, and kills the process as early as the protocol allows."""
        try:
            async with asyncio.timeout_at(self._kill_at):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        if process.returncode not in EXIT_CODES_AFTER_SIGTERM:
            self.breaches.append(f"the gateway exited with code {process.returncode}")
        self._clients_active = False

    async def _inject_faults(self) -> None:
        """Drains and restarts nodes and silences discovery during the load."""
        scenario, name = self.settings.scenario, self.rng.choice(list(self._nodes))
        await asyncio.sleep(self.rng.uniform(0.2, 0.8))
        if scenario is Scenario.DISCOVERY:
            self._discovery.is_silent = True
        cell = list(self._nodes).index(name)
        if self.rng.random() < 1 / 2:
            self._discovery.update(self._nodes[name].row(name, cell, "draining"))
            self._drained_at[name] = self._loop.time()
        if scenario is Scenario.NODES:
            other = self.rng.choice([each for each in self._nodes if each != name])
            port = self._nodes[other].port
            self._nodes[other].close()
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
            await self._nodes[other].open(port)
        if scenario is Scenario.DISCOVERY:
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            self._discovery.is_silent = False

    # Clients.

    async def _client(self, seed: float) -> None:
        """Sends requests on one connection after another."""
        rng = random.Random(seed)
        while self._clients_active and self._loop.time() < self._new_connections_until:
            try:
                connection = await FakeClient().open(self._gateway.port)
            except OSError:
                return
            await self._send_requests(connection, rng)
            connection.close()

    async def _send_requests(self, connection: FakeClient, rng: random.Random) -> None:
        while self._clients_active:
            requests = [self._send_request(connection, rng) for _ in range(rng.choice(PIPELINE_LENGTHS))]
            if rng.random() < DISCONNECT_PROBABILITY:
                await asyncio.sleep(rng.uniform(0, 0.05))
                connection.writer.transport.abort() if rng.random() < 1 / 2 else connection.close()
                for request in requests:
                    request.client_left_at = self._loop.time()
                return
            if not await self._read_replies(connection, requests):
                return
            await asyncio.sleep(rng.expovariate(20))

    def _send_request(self, connection: FakeClient, rng: random.Random) -> Request:
        number = len(self._requests) + 1
        deadline = self.settings.deadline
        is_write = rng.random() < 1 / 3
        request = Request(number, self._loop.time(), deadline, is_write)
        self._requests[number] = request
        cell = rng.randrange(self.settings.node_count)
        connection.send(*self._command(number, cell, is_write))
        return request

    def _command(self, number: int, cell: int, is_write: bool) -> list[bytes]:
        time_left = round(self.settings.deadline * 1000)
        if not is_write:
            return read_command(number, cell=cell, time_left=time_left)
        is_keyed = self.settings.write_idempotency == "keyed"
        return write_command(number, cell=cell, time_left=time_left, is_keyed=is_keyed)

    async def _read_replies(self, connection: FakeClient, requests: list[Request]) -> bool:
        """Reads the replies in order; False if the connection ended or a reply is overdue."""
        for index, request in enumerate(requests):
            timeout = request.sent_at + request.deadline + ANSWER_SLACK + 2 - self._loop.time()
            try:
                reply = await connection.reply(within=max(0.1, timeout))
            except TimeoutError:
                return False
            now = self._loop.time()
            if reply is None:
                for unanswered in requests[index:]:
                    unanswered.connection_ended_at = now
                return False
            request.replied_at = now
            if reply[0] not in ("$", "*", "-"):
                self.breaches.append(f"request {request.number} was answered with {reply!r}")
        return True
