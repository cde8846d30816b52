"""The adapter between the simulator's wire protocol and the scheduler.

It hosts one `Scheduler` per instance, turns each event into a call of the scheduler, and each call by the
scheduler into an action.  The names on the wire are the simulator's.
"""

from collections.abc import Callable, Iterable
from typing import BinaryIO, NamedTuple

import orjson

from rushmux.scheduling.interface import (
    AttemptReport,
    AttemptResult,
    Endpoint,
    EndpointState,
    OperationRequest,
    Ticks,
    UpdateKind,
    VolumeEvent,
)
from rushmux.scheduling.scheduler import Scheduler
from rushmux.settings.platform import LOAD_COLUMNS, TICK_NS, load_positions, scheduler_settings_of

RESULTS = {
    "completed": AttemptResult.SUCCEEDED,
    "errored": AttemptResult.FAILED,
    "saturated": AttemptResult.REJECTED,
    "overdue": AttemptResult.TIMED_OUT,
    "refused_conn": AttemptResult.CONNECT_FAILED,
    "severed": AttemptResult.CONNECTION_LOST,
    "recalled": AttemptResult.CANCELLED,
    "superseded": AttemptResult.NOT_SENT,
}
UPDATE_KINDS = {
    "update": UpdateKind.DELTA,
    "replace": UpdateKind.SNAPSHOT,
    "restored": UpdateKind.RECOVERED,
    "unavailable": UpdateKind.UNAVAILABLE,
}


class MalformedInputError(Exception):
    """Input that violates the wire protocol."""


class InstanceActions:
    """Turns the calls of one instance's scheduler into actions (`interface.SchedulerActions`)."""

    def __init__(self, instance: str, host: "Host"):
        self.instance = instance
        self.host = host

    def emit(self, action: str, **fields) -> None:
        """Adds an action to the response."""
        self.host.actions.append({action: {"Gateway": self.instance, **fields}})

    def start_attempt(self, op_id: str, node: str, timeout: Ticks) -> None:
        """Sends the operation's next attempt."""
        self.emit("Relay", Corr=op_id, TryFor=timeout * TICK_NS, Node=node)

    def shed(self, op_id: str, retry_after: Ticks) -> None:
        """Answers that the operation did not run."""
        self.emit("Reject", Corr=op_id, RetryAfter=retry_after * TICK_NS)

    def fail(self, op_id: str) -> None:
        """Answers that the operation failed."""
        self.emit("FinishError", Corr=op_id)

    def wake_after(self, delay: Ticks) -> None:
        """Requests a round after a delay."""
        self.emit("NotifyMe", Span=delay * TICK_NS, Cookie="wake")

    def poll_endpoints(self) -> None:
        """Requests the endpoint list and its updates."""
        self.emit("Watch", Active=True)

    def cancel_attempt(self, op_id: str, attempt: int) -> None:
        """Cancels an attempt."""
        self.emit("Retract", Corr=op_id, SendNo=attempt)

    def request_load_report(self, node: str) -> None:
        """Asks a node for its load."""
        self.emit("Probe", Node=node)

    def report_volume(self, event: VolumeEvent) -> None:
        """Does nothing: the simulator has no log."""


class SchedulerCall(NamedTuple):
    """The call that an event leads to."""

    function: Callable
    arguments: tuple


class Host:
    """Hosts all instances of one process, which share only the endpoint lists that events refer to."""

    def __init__(self):
        self.schedulers: dict[str, Scheduler] = {}
        self.load_positions: dict[str, list] = {}  # instance -> columns of its load reports
        self.endpoint_lists: dict[int, list[Endpoint]] = {}
        self.now: Ticks = 0
        self.actions: list[dict] = []
        self.handlers = {
            "Attach": self._attach,
            "Down": self._down,
            "Catalog": self._catalog,
            "DirectoryUpdate": self._directory_update,
            "Call": self._call,
            "AckFirst": None,
            "Settled": self._settled,
            "TimedOutClient": self._timed_out_client,
            "Fired": None,
            "Health": self._health,
            "PeerData": None,
        }

    def serve(self, source: Iterable[bytes], sink: BinaryIO) -> None:
        """Responds line by line; raises MalformedInputError with the number of an invalid line."""
        for number, line in enumerate(source, 1):
            try:
                batch = orjson.loads(line)
                sink.write(self.process_batch(batch["Clock"] // TICK_NS, batch["input"]))
            except KeyError as error:
                raise MalformedInputError(f"line {number}: missing key or unknown name {error}") from error
            except (TypeError, ValueError, AttributeError) as error:
                raise MalformedInputError(f"line {number}: not a batch of events: {error}") from error
            sink.write(b"\n")
            sink.flush()

    def process_batch(self, now: Ticks, events: list[dict]) -> bytes:
        """Returns the response to the events of one instant."""
        self.now, self.actions = now, []
        instances = {}
        for event in events:
            ((name, fields),) = event.items()
            handler = self.handlers[name]
            instance = fields["Gateway"] if name != "Catalog" else None
            if instance is not None:
                instances[instance] = True
            if handler is not None:
                self._call_scheduler(instance, *handler(fields))
        for instance in instances:
            if instance in self.schedulers:
                self._call_scheduler(instance, self.schedulers[instance].run_round, (now,))
        return orjson.dumps({"do": self.actions})

    def _call_scheduler(self, instance: str | None, function: Callable, arguments: tuple) -> None:
        """Calls the scheduler; an exception becomes an action instead of ending the process."""
        try:
            function(*arguments)
        except Exception as error:  # of any kind: the protocol has an action for it
            text = f"{type(error).__name__}: {error}"
            self.actions.append({"BailOut": {"Gateway": instance, "Text": text}})

    # Each handler reads the fields of one event and returns the call to make.

    def _attach(self, event: dict) -> SchedulerCall:
        instance, env = event["Gateway"], event["Env"]
        actions = InstanceActions(instance, self)
        self.load_positions[instance] = load_positions(env)
        return SchedulerCall(self._start, (instance, scheduler_settings_of(env), event["Entropy"], actions))

    def _start(self, instance, settings, seed, actions) -> None:
        self.schedulers[instance] = Scheduler(settings, seed, self.now, actions)

    def _down(self, event: dict) -> SchedulerCall:
        return SchedulerCall(self.schedulers.pop, (event["Gateway"], None))

    def _catalog(self, event: dict) -> SchedulerCall:
        endpoints = [
            Endpoint(
                row["Node"],
                row["Cohort"],
                row["Dc"],
                EndpointState(row["Condition"]),
                -(-row.get("OnlineSince", 0) // TICK_NS),
            )
            for row in event["MembersList"]
        ]
        return SchedulerCall(self.endpoint_lists.__setitem__, (event["SetId"], endpoints))

    def _directory_update(self, event: dict) -> SchedulerCall:
        kind = UPDATE_KINDS[event["Kind"]]
        endpoints = () if kind is UpdateKind.UNAVAILABLE else self.endpoint_lists[event["SetId"]]
        return SchedulerCall(self._scheduler(event).on_endpoints, (self.now, kind, endpoints))

    def _call(self, event: dict) -> SchedulerCall:
        request = OperationRequest(
            event["Corr"],
            event["Service"],
            event["Grade"],
            event["StoreUser"],
            event.get("Chunk", ""),
            event["Left"] // TICK_NS,
            event["Units"],
            event["GroupNo"],
            event["Mounts"],
            event.get("IsRetry", False),
        )
        return SchedulerCall(self._scheduler(event).on_operation, (self.now, request))

    def _settled(self, event: dict) -> SchedulerCall:
        report = AttemptReport(
            event["Corr"],
            event["SendNo"],
            RESULTS[event["Verdict"]],
            event.get("Ended", False),
            event.get("SeenUse", 0),
            event.get("FromOthers", 0),
        )
        return SchedulerCall(self._scheduler(event).on_attempt_result, (self.now, report))

    def _health(self, event: dict) -> SchedulerCall:
        row, positions = event.get("Metrics") or (), self.load_positions[event["Gateway"]]
        queue, service = (
            float(row[position]) * scale if position is not None and position < len(row) else None
            for position, scale in zip(positions, LOAD_COLUMNS.values(), strict=True)
        )
        arguments = event["Node"], RESULTS[event["Verdict"]], queue, service
        return SchedulerCall(self._scheduler(event).on_load_report, arguments)

    def _timed_out_client(self, event: dict) -> SchedulerCall:
        return SchedulerCall(self._scheduler(event).on_client_gone, (self.now, event["Corr"]))

    def _scheduler(self, event: dict) -> Scheduler:
        return self.schedulers[event["Gateway"]]
