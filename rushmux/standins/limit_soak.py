"""Randomized runs of several gateway processes that check the volumes' limits over all of them.

A seed determines the limit, how nodes report usage, consecutive restarts, an idle time before a burst,
commands or connections that reach nodes late, stalled processes and reloads.  `limit_judge` checks what the
nodes received.
"""

import asyncio
import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from rushmux.standins.limit_judge import LimitBreach, UnitArrival, VolumeLimit, check_limits
from rushmux.standins.loop_lag import LoopLagWatch
from rushmux.standins.platform import FakeClient, FakeDiscovery, configuration, read_command
from rushmux.standins.platform.gateway_process import GATEWAY_ARGUMENTS, GatewayProcess, free_gateway_port
from rushmux.standins.platform.metered_node import Meter, MeteredNode, NodeFault

READY_TIMEOUT = 10.0
"""Seconds from a start to the first PONG."""
MAX_UNITS = 8
SHARED_VOLUME, SINGLE_VOLUME = 1, 2
"""Used through all gateways, and through the first only."""
CLIENTS_PER_GATEWAY = 10
RECONNECT_INTERVAL = 0.02
STALL_TIME = (0.15, 0.4)
"""Shortest and longest stall of a process, in seconds."""
TIME_BETWEEN_RESTARTS = 0.3
"""Seconds of load after each restart."""
DIAL_TIMEOUT = 2.5
"""Seconds: more than the one after which the kernel repeats a connect."""
NS_PER_SECOND = 1_000_000_000
MS_PER_SECOND = 1000


@dataclass
class LimitScenario:
    """The settings of a run; times in seconds."""

    limit: VolumeLimit
    gateway_count: int = 2
    node_count: int = 2
    meter: Meter = Meter.STEADY
    fault: NodeFault = NodeFault.NONE
    units: tuple[int, ...] = (1, 1, 2, 4, MAX_UNITS)
    """Sizes of operations to choose from."""
    fault_time: tuple[float, float] = (0.3, 1.3)
    """Shortest and longest duration of a node's fault."""
    service_time: float = 0.02
    """Longest execution of a command."""
    deadline: float = 1.0
    load_time: float = 3.0
    """Duration of each burst."""
    quiet_time: float = 0.0
    """Idle time between two bursts; 0: a single burst."""
    restarts: int = 0
    """Consecutive restarts of each restarted gateway."""
    restarted_gateways: int = 1
    restart_signal: signal.Signals = signal.SIGKILL
    stalls: int = 0
    reloads: int = 0


@dataclass
class LimitOutcome:
    """The result of a run."""

    requests: int
    arrivals: int
    largest_overdraft: float
    """Units below zero."""
    breaches: list[LimitBreach]
    problems: list[str]
    """Other errors."""
    logs: str


def draw_scenario(seed: int) -> LimitScenario:
    """Draws the scenario of a seed."""
    rng = random.Random(f"limit {seed}")
    gateway_count = rng.randint(1, 4)
    rate = rng.choice((2.0, 5.0, 20.0))
    burst = max(2.0 * MAX_UNITS * gateway_count, rate * rng.choice((1, 3)))
    restarts = rng.choice((0, 0, 1, 1, 2, 3))
    return LimitScenario(
        limit=VolumeLimit(rate, burst, max(float(MAX_UNITS), burst / 10)),
        gateway_count=gateway_count,
        node_count=rng.randint(1, 3),
        meter=rng.choice(list(Meter)),
        fault=rng.choice(list(NodeFault)),
        service_time=rng.choice((0.02, 0.2)),
        deadline=rng.choice((1.0, 3.0)),
        load_time=rng.choice((2.0, 3.0, 6.0)),
        quiet_time=rng.choice((0.0, 0.0, 2.0, 4.0)),
        restarts=restarts,
        restarted_gateways=rng.randint(1, gateway_count),
        restart_signal=rng.choice((signal.SIGKILL, signal.SIGTERM)),
        stalls=rng.choice((0, 0, 3)),
        reloads=rng.choice((0, 0, 2)),
    )


class LimitRun:
    """One run.

    Args:
        scenario: Its settings.
        seed: Seeds all other random draws.
        folder: Directory for the configuration files.
        arguments: Interpreter arguments that start a gateway.
    """

    def __init__(
        self,
        scenario: LimitScenario,
        seed: int,
        folder: Path,
        arguments: Sequence[str] = GATEWAY_ARGUMENTS,
    ):
        self.scenario = scenario
        self.problems: list[str] = []
        self._rng = random.Random(f"limit {seed} course")
        self._folder = folder
        self._arguments = arguments
        self._nodes: list[MeteredNode] = []
        self._gateways: list[GatewayProcess] = []
        self._discovery = FakeDiscovery()
        self._lag_watch = LoopLagWatch()
        self._request_count = 0
        self._clients_active = True
        self._load_active = asyncio.Event()

    async def run(self) -> LimitOutcome:
        """Executes the run and checks what was observed."""
        self._loop = asyncio.get_running_loop()
        await self._open_stand_ins()
        begin = self._loop.time()
        tasks = [self._loop.create_task(self._lag_watch.run())]
        try:
            await self._start_gateways()
            tasks += self._start_clients()
            await self._run_steps()
        finally:
            self._clients_active = False
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close()
        return self._outcome(begin)

    async def _open_stand_ins(self) -> None:
        scenario = self.scenario
        await self._discovery.open()
        for cell in range(scenario.node_count):
            name = f"s{cell}"
            rng = random.Random(self._rng.random())
            node = MeteredNode(name, scenario.meter, scenario.fault, rng, scenario.service_time)
            await node.open()
            self._nodes.append(node)
            self._discovery.update(node.row(name, cell))
        for number in range(scenario.gateway_count):
            file = self._folder / f"n{number}.json"
            port = free_gateway_port()
            self._gateways.append(GatewayProcess(f"n{number}", file, port, self._arguments))
            self._gateways[-1].write_configuration(self._configuration(port))

    def _configuration(self, port: int) -> dict:
        scenario, limit = self.scenario, self.scenario.limit
        plan = {
            "Nominal": limit.rate / 5,
            "FloorRate": limit.rate / 10,
            "NeverOver": limit.rate,
            "CapDepth": limit.burst,
            "Tolerance": limit.tolerance,
        }
        raw = configuration(
            self._discovery.port,
            list(self._discovery.rows.values()),
            port,
            plan=plan,
            deadline=round(scenario.deadline * MS_PER_SECOND),
            objective=round(scenario.deadline * MS_PER_SECOND * 0.4),
            gateways=scenario.gateway_count,
            shards=scenario.node_count,
            DialTimeout=round(DIAL_TIMEOUT * NS_PER_SECOND),
        )
        raw["seed"] = f"{self._rng.getrandbits(64):016x}"
        return raw

    async def _start_gateways(self) -> None:
        for gateway in self._gateways:
            await gateway.start()
        for gateway in self._gateways:
            await self._check_ready(gateway)

    async def _check_ready(self, gateway: GatewayProcess) -> None:
        if not await gateway.is_ready(READY_TIMEOUT):
            state = f"exit code {gateway.process.returncode}"
            self.problems.append(f"{gateway.name} was not ready within {READY_TIMEOUT:g} s: {state}")

    # Steps of a run.

    async def _run_steps(self) -> None:
        scenario = self.scenario
        self._load_active.set()
        faults = [self._loop.create_task(self._inject_faults(scenario.load_time))]
        await asyncio.sleep(scenario.load_time)
        if scenario.quiet_time:
            self._load_active.clear()
            await asyncio.sleep(scenario.quiet_time)
            self._load_active.set()
            faults.append(self._loop.create_task(self._inject_faults(scenario.load_time)))
            await asyncio.sleep(scenario.load_time)
        # As on the platform, no SIGHUP in a process's first second: without a handler yet, it would exit.
        await asyncio.gather(*faults)
        await self._restart_gateways()

    async def _restart_gateways(self) -> None:
        for _ in range(self.scenario.restarts):
            chosen = self._gateways[: self.scenario.restarted_gateways]
            await asyncio.gather(*(self._restart(gateway) for gateway in chosen))
            await asyncio.sleep(TIME_BETWEEN_RESTARTS)

    async def _restart(self, gateway: GatewayProcess) -> None:
        gateway.send_signal(self.scenario.restart_signal)
        await asyncio.sleep(self._rng.uniform(0, 0.2))
        await gateway.end()
        await gateway.start()
        await self._check_ready(gateway)

    async def _inject_faults(self, duration: float) -> None:
        """Delays commands to nodes, stalls and reloads gateways."""
        until = self._loop.time() + duration
        delays = [asyncio.ensure_future(self._delay_nodes(node)) for node in self._nodes]
        for _ in range(self.scenario.stalls + self.scenario.reloads):
            await asyncio.sleep(max(0.0, self._rng.uniform(0, until - self._loop.time())))
            gateway = self._rng.choice(self._gateways)
            if self.scenario.reloads and self._rng.random() < 1 / 2:
                gateway.send_signal(signal.SIGHUP)
            if self.scenario.stalls:
                gateway.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(*STALL_TIME))
                gateway.send_signal(signal.SIGCONT)
        await asyncio.gather(*delays)

    async def _delay_nodes(self, node: MeteredNode) -> None:
        await node.inject_fault(self._rng.uniform(*self.scenario.fault_time))
        await asyncio.sleep(self._rng.uniform(0, 1))
        await node.inject_fault(self._rng.uniform(*self.scenario.fault_time))

    # Clients.

    def _start_clients(self) -> list[asyncio.Task]:
        return [
            self._loop.create_task(self._client(gateway, number, self._rng.random()))
            for number, gateway in enumerate(self._gateways)
            for _ in range(CLIENTS_PER_GATEWAY)
        ]

    async def _client(self, gateway: GatewayProcess, number: int, seed: float) -> None:
        """Sends requests on one connection after another."""
        rng = random.Random(seed)
        while self._clients_active:
            await self._load_active.wait()
            try:
                connection = await FakeClient().open(gateway.port)
            except OSError:
                await asyncio.sleep(RECONNECT_INTERVAL)
                continue
            try:
                await self._send_requests(connection, number, rng)
            finally:
                connection.close()

    async def _send_requests(self, connection: FakeClient, number: int, rng: random.Random) -> None:
        while self._clients_active:
            await self._load_active.wait()
            count = rng.choice((1, 1, 3))
            for _ in range(count):
                connection.send(*self._command(number, rng))
            for _ in range(count):
                try:
                    if await connection.reply(within=self.scenario.deadline + 1) is None:
                        return
                except TimeoutError:
                    return
            await asyncio.sleep(rng.expovariate(50))

    def _command(self, gateway_number: int, rng: random.Random) -> list[bytes]:
        self._request_count += 1
        single = gateway_number == 0 and rng.random() < 1 / 4
        return read_command(
            self._request_count,
            cell=rng.randrange(self.scenario.node_count),
            time_left=round(self.scenario.deadline * MS_PER_SECOND),
            volume=SINGLE_VOLUME if single else SHARED_VOLUME,
            units=rng.choice(self.scenario.units),
            hosts=1 if single else self.scenario.gateway_count,
        )

    # End of a run.

    async def _close(self) -> None:
        for gateway in self._gateways:
            if gateway.process is not None:
                await gateway.end()
        for node in self._nodes:
            node.close()
        self._discovery.close()

    def _outcome(self, begin: float) -> LimitOutcome:
        arrivals: list[UnitArrival] = [arrival for node in self._nodes for arrival in node.arrivals]
        limits = {f"{volume:016x}": self.scenario.limit for volume in (SHARED_VOLUME, SINGLE_VOLUME)}
        verdict = check_limits(arrivals, limits, begin, self._lag_watch.longest)
        logs = "\n".join(gateway.log.decode(errors="replace") for gateway in self._gateways)
        self.problems += [line for line in logs.splitlines() if "Traceback" in line or ".fault " in line]
        return LimitOutcome(
            self._request_count,
            len(arrivals),
            verdict.largest_overdraft,
            verdict.breaches,
            self.problems,
            logs,
        )
