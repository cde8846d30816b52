"""Scenarios that try to break a rule: each sets up a schedule and returns its end."""

import random
from collections.abc import Callable
from typing import NamedTuple

from rushmux.lab.model_check.gateway import ModelGateway
from rushmux.lab.model_check.schedule import NodeBehaviour, Schedule
from rushmux.routes.findings import Rule
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import Endpoint, EndpointState, Idempotency, OperationRequest, Ticks

FIRST_OPERATION_AT = 40_000  # ticks; slow start and other effects of the start are over by then
QUIET_TIME = 100_000  # ticks that a schedule goes on after its last deadline
DRAIN_END = 200_000  # ticks; end of a schedule with a drain
NODE_COUNT = 3
SLOW_START_BURSTS = 4
RESTART_INTERVAL = 100  # ticks between two restarts of all gateways
ANY_CELL = -1

SetUp = Callable[[Schedule, str, str], Ticks]
"""Sets up a schedule for a request class and a plan, and returns its end."""


class Scenario(NamedTuple):
    """One way of trying to break a rule."""

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
    """Sends two operations, one right after the other."""
    client, gateway = _Client(schedule, request_class, plan), schedule.gateways[0]
    class_settings = schedule.bounds.settings.request_classes[request_class]
    cell = ANY_CELL if class_settings.idempotency is Idempotency.IDEMPOTENT else 0
    schedule.update_endpoints(_ready_node(number) for number in range(NODE_COUNT))
    schedule.call_at(FIRST_OPERATION_AT, lambda: client.send(gateway, "a", cell=cell))
    schedule.call_at(FIRST_OPERATION_AT + 1, lambda: client.send(gateway, "b", cell=cell))
    return FIRST_OPERATION_AT + 3 * class_settings.deadline + QUIET_TIME


def operations_during_drain(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """Sends operations while the gateway is being told that their node drains."""
    client, gateway = _Client(schedule, request_class, plan), schedule.gateways[0]
    node = _ready_node(0)
    draining = node._replace(state=EndpointState.DRAINING)
    schedule.update_endpoints([node])
    schedule.call_at(FIRST_OPERATION_AT, lambda: schedule.update_endpoints([draining]))
    schedule.call_at(FIRST_OPERATION_AT - schedule.bounds.network_delay, lambda: client.send(gateway, "d0"))
    schedule.call_at(FIRST_OPERATION_AT, lambda: client.send(gateway, "d1"))
    return DRAIN_END


def retry_near_end_of_dedup_window(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """Drains a node after the first attempt, and brings it back just before a retry would be too late."""
    client, gateway = _Client(schedule, request_class, plan), schedule.gateways[0]
    class_settings = schedule.bounds.settings.request_classes[request_class]
    round_interval = schedule.bounds.settings.round_interval
    submitted_at = FIRST_OPERATION_AT + schedule.bounds.network_delay + round_interval
    node = _ready_node(0)
    draining = node._replace(state=EndpointState.DRAINING)
    schedule.update_endpoints([node])
    schedule.call_at(FIRST_OPERATION_AT, lambda: client.send(gateway, "a"))
    schedule.call_at(submitted_at + 1, lambda: schedule.update_endpoints([draining]))
    retry_delays = (
        class_settings.latency_objective - 1,
        class_settings.dedup_window - round_interval - 1,
        class_settings.dedup_window - 1,
    )
    delay = schedule.choices.choose(retry_delays, uniform=True)
    ready_at = submitted_at + delay - schedule.choices.choose((round_interval, 0))
    schedule.call_at(ready_at, lambda: schedule.update_endpoints([node]))
    return FIRST_OPERATION_AT + 2 * class_settings.deadline


def bursts_at_slow_start(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """Sends bursts of small and largest operations for a node in slow start through all gateways."""
    client, settings = _Client(schedule, request_class, plan), schedule.bounds.settings
    window = settings.slow_start_window
    begin = 2 * window
    # Only cell 0 has work: one of so many cells is the contended fraction that the bounds state.
    cell_count = max(1, round(1 / schedule.bounds.contended_cell_fraction))
    endpoints = [_ready_node(0, begin), *(_ready_node(cell) for cell in range(1, cell_count))]
    schedule.call_at(begin, lambda: schedule.update_endpoints(endpoints))
    generator, count = random.Random(schedule.seed), 0

    def send_at(when: Ticks, gateway: ModelGateway, op_id: str, units: float) -> None:
        schedule.call_at(when, lambda: client.send(gateway, op_id, units=units))

    for burst in range(SLOW_START_BURSTS):
        for gateway in schedule.gateways:
            when = begin + burst * window // 2 + generator.randrange(window // 4) + 1
            for units in (*(1.0,) * generator.randrange(3), settings.max_units):
                count += 1
                send_at(when, gateway, f"c{count}", units)
    return begin + 3 * window


def restarts_with_spent_limits(schedule: Schedule, request_class: str, plan: str) -> Ticks:
    """Lets all gateways use up their shares of a limit, and restart them as often as the bounds allow."""
    client, bounds = _Client(schedule, request_class, plan), schedule.bounds
    qos_plan, gateway_count = bounds.settings.plans[plan], bounds.settings.gateway_count
    operations_per_gateway = int(qos_plan.burst / gateway_count) + 2
    full_at = int(qos_plan.burst / qos_plan.limit * TICKS_PER_SECOND) + TICKS_PER_SECOND
    endpoints, count = [_ready_node(0)], 0
    schedule.update_endpoints(endpoints)

    def use_up_limits(restart: bool) -> None:
        nonlocal count
        for gateway in schedule.gateways:
            if restart:
                gateway.start()
                schedule.update_endpoints(endpoints, [gateway])
            for _ in range(operations_per_gateway):
                count += 1
                client.send(gateway, f"l{count}", gateway_count=gateway_count)

    schedule.call_at(full_at, lambda: use_up_limits(restart=False))
    for number in range(1, bounds.restarts + 1):
        schedule.call_at(full_at + RESTART_INTERVAL * number, lambda: use_up_limits(restart=True))
    return full_at + RESTART_INTERVAL * (bounds.restarts + 1)


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
