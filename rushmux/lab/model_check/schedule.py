"""One schedule: the real scheduler of every gateway with clients and nodes, within a deployment's bounds.

The delays of messages, rounds and connections are choices, and so is what a node does with an attempt.  A
schedule is small on purpose: a few operations that test one rule.  Times are ticks.
"""

from collections.abc import Callable, Iterable, Sequence
from enum import Enum, auto

from rushmux.lab.client import ClientOutcome
from rushmux.lab.errors import LabError
from rushmux.lab.model_check.choices import Choices
from rushmux.lab.model_check.gateway import ModelGateway
from rushmux.lab.model_check.history import Breach, History, format_ms
from rushmux.lab.model_check.rule_monitor import ModelAttempt, RuleMonitor
from rushmux.lab.timer_loop import TimerLoop
from rushmux.routes.bounds import Bounds
from rushmux.scheduling.interface import AttemptResult, Endpoint, OperationRequest, Ticks
from rushmux.scheduling.scheduler import Scheduler

START_TIME = 10  # of a new schedule, in ticks
TYPICAL_USAGE = 2  # fleet usage in an answer: one percent of the plan's rate
USAGE_VALUES = (0, TYPICAL_USAGE, 401)  # none, and others: the usage may be late, stale or wrong
MAX_EVENTS = 20_000  # a schedule with more is considered endless


class NodeBehaviour(Enum):
    """What a node does with an attempt."""

    SILENT = auto()
    """Accepts it and does not answer."""
    SUCCEED = auto()
    FAIL = auto()
    REJECT = auto()


class EndlessScheduleError(LabError):
    """A schedule does not end.

    Attributes:
        events: How many were run.
    """

    def __init__(self, events: int):
        super().__init__(f"the schedule did not end within {events} events")
        self.events = events


class Schedule:
    """One schedule of a deployment.

    Attributes:
        network_delays: Possible delays of a message, worst first.
        dial_times: Possible waits for a connection, worst first.
        round_delays: Possible delays of a round, worst first.
        usage_values: Possible values of the fleet's usage in an answer.
    """

    def __init__(
        self,
        bounds: Bounds,
        choices: Choices,
        *,
        behaviours: Sequence[NodeBehaviour] = (NodeBehaviour.SILENT,),
        gateway_count: int = 1,
        seed: int = 1,
        has_delays: bool = True,
        make_scheduler: Callable = Scheduler,
    ):
        """Sets up a schedule.

        Args:
            bounds: The deployment's bounds.
            choices: Makes the choices.
            behaviours: What nodes may do with an attempt, worst first.
            gateway_count: How many gateways there are.
            seed: The seed of the schedulers.
            has_delays: Whether messages, rounds and connections may be late.
            make_scheduler: Makes a gateway's scheduler.
        """
        self.bounds, self.choices, self.behaviours, self.seed = bounds, choices, behaviours, seed
        self.make_scheduler = make_scheduler
        self.clock = TimerLoop(START_TIME)
        self.history = History(self.clock)
        self.monitor = RuleMonitor(bounds, self.history)
        self.network_delays = self.dial_times = self.round_delays = (0,)
        if has_delays:
            self.network_delays = _worst_and_none(bounds.network_delay)
            self.dial_times = _worst_and_none(bounds.connect_timeout)
            self.round_delays = _worst_and_none(bounds.settings.round_interval)
        self.usage_values = USAGE_VALUES if bounds.settings.usage_period else (TYPICAL_USAGE,)
        self._busy_until = 0  # end of the work at nodes in slow start, which is done one by one
        self.gateways = [ModelGateway(self, number) for number in range(gateway_count)]

    @property
    def now(self) -> Ticks:
        """The simulated time."""
        return self.clock.now

    def call_at(self, when: Ticks, callback: Callable[[], None]) -> None:
        """Calls back at a time."""
        self.clock.call_at(when, callback)

    def run(self, end: Ticks) -> Breach | None:
        """Runs until a time or a breach, and returns the breach, if any.

        At the end each operation past its deadline must have been answered.

        Raises:
            EndlessScheduleError: More than `MAX_EVENTS` events were run.
        """
        events = 0
        while self.history.breach is None and self.clock.run_next(end):
            events += 1
            if events > MAX_EVENTS:
                raise EndlessScheduleError(events)
        self.monitor.check_end(end)
        return self.history.breach

    def update_endpoints(
        self, endpoints: Iterable[Endpoint], gateways: Sequence[ModelGateway] | None = None
    ) -> None:
        """Sends node states to some gateways, by default to all, without network delay."""
        endpoints = list(endpoints)
        for endpoint in endpoints:
            self.monitor.nodes[endpoint.node] = endpoint
        for gateway in self.gateways if gateways is None else gateways:
            for endpoint in endpoints:
                self.monitor.on_endpoint(gateway.number, endpoint)
            gateway.deliver(self.now, gateway.update_endpoints, endpoints)

    def send_operation(self, gateway: ModelGateway, request: OperationRequest) -> None:
        """Sends an operation from a client now."""
        request_class = self.bounds.settings.request_classes[request.request_class]
        self.monitor.on_client_send(request.op_id, request_class, request.units)
        self.history.add(f"a client sends {request.op_id}")
        # The gateway counts the deadline from the arrival, the client from the send.
        arrives_at = self.now + self._network_delay()
        gateway.deliver(arrives_at, gateway.submit, request, arrives_at + request_class.deadline)

    def on_answer(self, op_id: str, outcome: ClientOutcome) -> None:
        """Delivers a gateway's final answer to the client."""
        self.monitor.on_answer(op_id)
        received_at = self.now + self._network_delay()
        self.history.add(f"{op_id} {outcome}; the answer reaches its client at {format_ms(received_at)} ms")
        self.monitor.on_answer_received(op_id, received_at)

    def on_attempt_start(self, attempt: ModelAttempt, is_answered: bool, in_flight: int) -> None:
        """Records and checks the start of an attempt whose operation has `in_flight` others."""
        self.history.add(
            f"gateway {attempt.gateway} sends {attempt.op_id} attempt {attempt.number} to {attempt.node}"
        )
        self.monitor.on_attempt_start(attempt, is_answered, in_flight)

    def send(self, attempt: ModelAttempt) -> None:
        """Delivers an attempt to its node."""
        arrives_at = self.now + self._network_delay()
        self.call_at(arrives_at, lambda: self._on_arrival(attempt))

    def _on_arrival(self, attempt: ModelAttempt) -> None:
        self.history.add(f"{attempt.op_id} attempt {attempt.number} arrives at {attempt.node}")
        self.monitor.on_arrival(attempt)
        behaviour = self.choices.choose(self.behaviours)
        if behaviour is not NodeBehaviour.REJECT:
            self.monitor.on_possible_run(attempt)
        if behaviour is NodeBehaviour.SUCCEED:
            self._busy_until = max(self._busy_until, self.now) + self._service_time(attempt)
            self._reply(attempt, AttemptResult.SUCCEEDED, self._busy_until)
        elif behaviour is NodeBehaviour.FAIL:
            self._reply(attempt, AttemptResult.FAILED, self.now)
        elif behaviour is NodeBehaviour.REJECT:
            self._reply(attempt, AttemptResult.REJECTED, self.now)

    def _reply(self, attempt: ModelAttempt, result: AttemptResult, at: Ticks) -> None:
        gateway = self.gateways[attempt.gateway]
        arrives_at = at + self._network_delay()
        gateway.deliver(arrives_at, gateway.on_reply, attempt.op_id, attempt.number, result)

    def _service_time(self, attempt: ModelAttempt) -> Ticks:
        """Returns how long a node in slow start works on an attempt; other nodes take no time."""
        if not self.monitor.nodes[attempt.node].online_since:
            return 0
        units = self.monitor.operations[attempt.op_id].units
        return int(units * self.bounds.overload_window / self.bounds.served_units)

    def _network_delay(self) -> Ticks:
        return self.choices.choose(self.network_delays)


def _worst_and_none(delay: Ticks) -> tuple[Ticks, ...]:
    """Returns the longest delay, and none."""
    return (delay, 0) if delay else (0,)
