"""The adapter between the simulator's wire and the scheduler.

It hosts one `Scheduler` per instance, turns each event into one call of it, and each of its calls into one
action.  It decides nothing.  The names on the wire are the simulator's.
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
    """Input that the wire does not allow, in one plain sentence."""


class InstanceActions:
    """Writes the scheduler's calls of one instance as actions (`interface.SchedulerActions`)."""

    def __init__(self, instance: str, host: "Host"):
        self.instance = instance
        self.host = host

    def put(self, action: str, **fields) -> None:
        """Adds an action to the answer."""
        self.host.actions.append({action: {"Gateway": self.instance, **fields}})

    def start_attempt(self, op_id: str, node: str, timeout: Ticks) -> None:
        """Sends the operation's next attempt."""
        self.put("Relay", Corr=op_id, TryFor=timeout * TICK_NS, Node=node)

    def shed(self, op_id: str, retry_after: Ticks) -> None:
        """Answers that the operation did not run."""
        self.put("Reject", Corr=op_id, RetryAfter=retry_after * TICK_NS)

    def fail(self, op_id: str) -> None:
        """Answers that the operation failed."""
        self.put("FinishError", Corr=op_id)

    def wake_after(self, delay: Ticks) -> None:
        """Asks for a round after a delay."""
        self.put("NotifyMe", Span=delay * TICK_NS, Cookie="wake")

    def poll_endpoints(self) -> None:
        """Asks for the endpoint list and its updates."""
        self.put("Watch", Active=True)

    def cancel_attempt(self, op_id: str, attempt: int) -> None:
        """Calls an attempt off."""
        self.put("Retract", Corr=op_id, SendNo=attempt)

    def request_load_report(self, node: str) -> None:
        """Asks a node for its load."""
        self.put("Probe", Node=node)

    def report_volume(self, event: VolumeEvent) -> None:
        """Nobody reads a log here."""


class SchedulerCall(NamedTuple):
    """What an event has the host call."""

    call: Callable
    values: tuple


class Host:
    """All instances of one process; they share nothing but the endpoint lists that events refer to."""

    def __init__(self):
        self.schedulers: dict[str, Scheduler] = {}
        self.load_places: dict[str, list] = {}  # instance -> where the values of a load report stand
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
        """Answers line by line; MalformedInputError names the line that cannot be read."""
        for number, line in enumerate(source, 1):
            try:
                batch = orjson.loads(line)
                sink.write(self.batch(batch["Clock"] // TICK_NS, batch["input"]))
            except KeyError as fault:
                raise MalformedInputError(f"line {number} lacks or does not know {fault}") from fault
            except (TypeError, ValueError, AttributeError) as fault:
                raise MalformedInputError(f"line {number} is not a batch of events: {fault}") from fault
            sink.write(b"\n")
            sink.flush()

    def batch(self, now: Ticks, events: list[dict]) -> bytes:
        """The answer to the events of one instant."""
        self.now, self.actions = now, []
        met = {}
        for event in events:
            ((name, fields),) = event.items()
            handler = self.handlers[name]
            instance = fields["Gateway"] if name != "Catalog" else None
            if instance is not None:
                met[instance] = True
            if handler is not None:
                self._guarded(instance, *handler(fields))
        for instance in met:
            if instance in self.schedulers:
                self._guarded(instance, self.schedulers[instance].run_round, (now,))
        return orjson.dumps({"do": self.actions})

    def _guarded(self, instance: str | None, call: Callable, values: tuple) -> None:
        """Lets a fault of the scheduler end the day with its text, not the process."""
        try:
            call(*values)
        except Exception as fault:  # whatever it is: the wire has an action for it
            text = f"{type(fault).__name__}: {fault}"
            self.actions.append({"BailOut": {"Gateway": instance, "Text": text}})

    # Each of these reads one event's fields and returns the call with its values.

    def _attach(self, event: dict) -> SchedulerCall:
        instance, env = event["Gateway"], event["Env"]
        actions = InstanceActions(instance, self)
        self.load_places[instance] = load_positions(env)
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
        row, places = event.get("Metrics") or (), self.load_places[event["Gateway"]]
        queue, service = (
            float(row[place]) * scale if place is not None and place < len(row) else None
            for place, scale in zip(places, LOAD_COLUMNS.values(), strict=True)
        )
        values = event["Node"], RESULTS[event["Verdict"]], queue, service
        return SchedulerCall(self._scheduler(event).on_load_report, values)

    def _timed_out_client(self, event: dict) -> SchedulerCall:
        return SchedulerCall(self._scheduler(event).on_client_gone, (self.now, event["Corr"]))

    def _scheduler(self, event: dict) -> Scheduler:
        return self.schedulers[event["Gateway"]]
