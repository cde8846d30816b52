"""Scenarios that try to break a rule: each sets a schedule up and says when it ends."""

import random
from collections.abc import Callable
from typing import NamedTuple

from rushmux.lab.model_check.gateway import ModelGateway
from rushmux.lab.model_check.schedule import NodeBehaviour, Schedule
from rushmux.routes.findings import Rule
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import Endpoint, EndpointState, Idempotency, OperationRequest, Ticks

BEGIN = 40_000  # ticks until the first operation: slow start and the like are over
QUIET_TIME = 100_000  # ticks that a schedule runs after its last deadline
DRAIN_END = 200_000  # ticks
NODE_COUNT = 3
SLOW_START_WAVES = 4
WAVE_DISTANCE = 100  # ticks between two restarts of the gateways
ANY_CELL = -1

SetUp = Callable[[Schedule, str, str], Ticks]
"""Sets a schedule up for a request class and a plan, and gives its end."""


class Scenario(NamedTuple):
    """A way to try to break a rule."""

    set_up: SetUp
    behaviours: tuple[NodeBehaviour, ...]
    """What nodes may do with an attempt, worst first."""
    has_delays: bool = True
    single_gateway: bool = False


def _ready_node(cell: int, online_since: Ticks = 0) -> Endpoint:
    return Endpoint(f"n{cell}", cell, "z", EndpointState.READY, online_since)


class _Client(NamedTuple):
    """Sends operations of one request class and plan."""

    schedule: Schedule
    request_class: str
    plan: str

    def send(
        self, gateway: ModelGateway, op_id: str, *, units: float = 1.0, cell: int = 0, gateway_count: int = 1
    ) -> None:
        """Sends an operation now."""
        request = OperationRequest(
            op_id=op_id,
            request_class=self.request_class,
            plan=self.plan,
            volume=f"v{self.plan}",
            key="",
            time_left=0,  # set when it reaches the gateway
            units=units,
            cell=cell,
            gateway_count=gateway_count,
            is_retry=False,
        )
        self.schedule.send_operation(gateway, request)


def consecutive_operations(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """One operation, and another that follows it."""
    client, gateway = _Client(schedule, request_class, plan), schedule.gateways[0]
    row = schedule.bounds.settings.request_classes[request_class]
    cell = ANY_CELL if row.idempotency is Idempotency.IDEMPOTENT else 0
    schedule.update_endpoints(_ready_node(number) for number in range(NODE_COUNT))
    schedule.call_at(BEGIN, lambda: client.send(gateway, "a", cell=cell))
    schedule.call_at(BEGIN + 1, lambda: client.send(gateway, "b", cell=cell))
    return BEGIN + 3 * row.deadline + QUIET_TIME


def operations_during_drain(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """Operations are taken while the drain of their node is being told."""
    client, gateway = _Client(schedule, request_class, plan), schedule.gateways[0]
    node = _ready_node(0)
    draining = node._replace(state=EndpointState.DRAINING)
    schedule.update_endpoints([node])
    schedule.call_at(BEGIN, lambda: schedule.update_endpoints([draining]))
    schedule.call_at(BEGIN - schedule.bounds.network_delay, lambda: client.send(gateway, "d0"))
    schedule.call_at(BEGIN, lambda: client.send(gateway, "d1"))
    return DRAIN_END


def retry_near_end_of_dedup_window(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """A node is away after its first attempt, and back just before a retry would be too late."""
    client, gateway = _Client(schedule, request_class, plan), schedule.gateways[0]
    row = schedule.bounds.settings.request_classes[request_class]
    round_interval = schedule.bounds.settings.round_interval
    taken_at = BEGIN + schedule.bounds.network_delay + round_interval
    node = _ready_node(0)
    draining = node._replace(state=EndpointState.DRAINING)
    schedule.update_endpoints([node])
    schedule.call_at(BEGIN, lambda: client.send(gateway, "a"))
    schedule.call_at(taken_at + 1, lambda: schedule.update_endpoints([draining]))
    last_moments = (
        row.latency_objective - 1,
        row.dedup_window - round_interval - 1,
        row.dedup_window - 1,
    )
    last = schedule.choices.choose(last_moments, even=True)
    back_at = taken_at + last - schedule.choices.choose((round_interval, 0))
    schedule.call_at(back_at, lambda: schedule.update_endpoints([node]))
    return BEGIN + 2 * row.deadline


def bursts_at_slow_start(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """All gateways have largest and small operations for a node in slow start, again and again."""
    client, settings = _Client(schedule, request_class, plan), schedule.bounds.settings
    window = settings.slow_start_window
    begin = 2 * window
    # The others that each gateway has work for: the part of all cells that the bounds state.
    cell_count = max(1, round(1 / schedule.bounds.contended_cell_fraction))
    endpoints = [_ready_node(0, begin), *(_ready_node(cell) for cell in range(1, cell_count))]
    schedule.call_at(begin, lambda: schedule.update_endpoints(endpoints))
    generator, count = random.Random(schedule.seed), 0

    def send_at(when: Ticks, gateway: ModelGateway, op_id: str, units: float) -> None:
        schedule.call_at(when, lambda: client.send(gateway, op_id, units=units))

    for wave in range(SLOW_START_WAVES):
        for gateway in schedule.gateways:
            when = begin + wave * window // 2 + generator.randrange(window // 4) + 1
            for units in (*(1.0,) * generator.randrange(3), settings.max_units):
                count += 1
                send_at(when, gateway, f"c{count}", units)
    return begin + 3 * window


def restarts_with_spent_limits(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """All gateways use up their parts of a limit and restart, as often as the bounds allow."""
    client, bounds = _Client(schedule, request_class, plan), schedule.bounds
    qos_plan, gateway_count = bounds.settings.plans[plan], bounds.settings.gateway_count
    operations_each = int(qos_plan.burst / gateway_count) + 2
    full_at = int(qos_plan.burst / qos_plan.limit * TICKS_PER_SECOND) + TICKS_PER_SECOND
    endpoints, count = [_ready_node(0)], 0
    schedule.update_endpoints(endpoints)

    def spend(restarts: bool) -> None:
        nonlocal count
        for gateway in schedule.gateways:
            if restarts:
                gateway.start()
                schedule.update_endpoints(endpoints, [gateway])
            for _ in range(operations_each):
                count += 1
                client.send(gateway, f"l{count}", gateway_count=gateway_count)

    schedule.call_at(full_at, lambda: spend(restarts=False))
    for number in range(1, bounds.restarts + 1):
        schedule.call_at(full_at + WAVE_DISTANCE * number, lambda: spend(restarts=True))
    return full_at + WAVE_DISTANCE * (bounds.restarts + 1)


SCENARIOS: dict[Rule, tuple[Scenario, ...]] = {
    Rule.NO_LOSS: (
        Scenario(
            consecutive_operations,
            (NodeBehaviour.SILENT, NodeBehaviour.FAIL, NodeBehaviour.SUCCEED),
            single_gateway=True,
        ),
    ),
    Rule.NO_DUPLICATE: (
        Scenario(
            consecutive_operations,
            (NodeBehaviour.SILENT, NodeBehaviour.FAIL, NodeBehaviour.REJECT),
            single_gateway=True,
        ),
        Scenario(
            retry_near_end_of_dedup_window,
            (NodeBehaviour.SILENT, NodeBehaviour.FAIL),
            single_gateway=True,
        ),
    ),
    Rule.DRAINING: (Scenario(operations_during_drain, (NodeBehaviour.SILENT,), single_gateway=True),),
    Rule.SLOW_START: (
        Scenario(bursts_at_slow_start, (NodeBehaviour.SILENT,)),
        Scenario(bursts_at_slow_start, (NodeBehaviour.SUCCEED,)),
    ),
    Rule.RETRY_BUDGET: (
        Scenario(consecutive_operations, (NodeBehaviour.FAIL, NodeBehaviour.SILENT), single_gateway=True),
    ),
    Rule.RATE_LIMIT: (
        Scenario(restarts_with_spent_limits, (NodeBehaviour.SUCCEED,), has_delays=False),
        Scenario(restarts_with_spent_limits, (NodeBehaviour.SUCCEED, NodeBehaviour.REJECT)),
    ),
}
