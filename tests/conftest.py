"""The one helper file: plays a scenario in the notation of tests/scenarios/README.md."""

import os
import time
from pathlib import Path

import pytest

from rushmux.scheduling.interface import (
    AttemptReport,
    AttemptResult,
    DedupScope,
    Endpoint,
    EndpointState,
    Idempotency,
    OperationRequest,
    QosPlan,
    RequestClass,
    RoutePolicy,
    SchedulerSettings,
    UpdateKind,
)
from rushmux.scheduling.scheduler import Scheduler

MS = 10  # ticks in a millisecond


RUN_MARK = f"RUSHMUX_TEST_RUN=a{os.getpid()}z"
LEFT_BEHIND_TIMEOUT = 10  # seconds in which all that the tests started must have ended


def processes_of_this_run():
    """Command lines of the processes, by id, that were started by these tests and live."""
    found = {}
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            environment = (folder / "environ").read_bytes()
            command = (folder / "cmdline").read_bytes().replace(b"\0", b" ").decode()
        except OSError:  # it ended meanwhile
            continue
        # The library's own helper lives as long as this process.
        if RUN_MARK.encode() in environment and command and "resource_tracker" not in command:
            found[int(folder.name)] = command
    return found


@pytest.fixture(scope="session", autouse=True)
def no_process_is_left_behind():
    """Every process that a test started, by itself or through a program, has ended when the tests have."""
    name, value = RUN_MARK.split("=")
    os.environ[name] = value
    yield
    until = time.monotonic() + LEFT_BEHIND_TIMEOUT
    while (left := processes_of_this_run()) and time.monotonic() < until:
        time.sleep(0.2)
    assert left == {}


def pytest_addoption(parser):
    parser.addoption("--seeds", default="", help="FIRST:END, in place of the few drawn histories of CI")


# The notation's names and those of the interface, for settings; other rows are mapped where they are read.
SETTINGS = {
    "gateways": "gateway_count",
    "tick": "round_interval",
    "list_asked": "polls_endpoints",
    "ask_within": "poll_interval",
    "executions": "max_attempts",
    "come_back": "max_retry_after",
    "mean_units": "mean_units",
    "most_units": "max_units",
    "cold_units": "slow_start_units",
    "cold_span": "slow_start_window",
    "fall_multiple": "overload_multiple",
    "cold_start": "initial_capacity",
    "warm_within": "warm_up_time",
    "meter_span": "usage_period",
    "order_rest": "key_cooldown",
    "budget_share": "retry_budget_ratio",
    "budget_free": "retry_budget_burst",
    "budget_span": "retry_budget_window",
    "copies": "allows_hedging",
    "cancel": "allows_cancellation",
    "load_asked": "reports_load",
}
TERMS = {
    "gateways": 2,
    "tick": 20,
    "list_asked": False,
    "ask_within": 10_000 * MS,
    "executions": 3,
    "come_back": 2_000 * MS,
    "mean_units": 2.0,
    "most_units": 8.0,
    "cold_units": 16.0,
    "cold_span": 2_000 * MS,
    "fall_multiple": 2.0,
    "cold_start": 0.25,
    "warm_within": 16_000 * MS,
    "meter_span": 0,
    "order_rest": 0,
    "budget_share": None,
    "budget_free": 0.0,
    "budget_span": 0,
    "copies": False,
    "cancel": False,
    "load_asked": False,
}
LANE = {
    "quoted": 400,
    "stop": 2000,
    "utility": 1.0,
    "repeat": "replayable",
    "group": "all",
    "window": 3000,
    "in_order": False,
}
ROUTE = {
    "time_out": 1 << 40,
    "executions": 1 << 40,
    "wait": 0,
    "copy_after": 0,
    "held": 1 << 40,
    "share": 0.0,
    "free": 1e12,
}
PLAN = {"nominal": 4.0, "reserve": 2.0, "limit": 0.0, "burst": 0.0, "slack": 0.0, "weight": 1.0, "price": 1.0}


def valued(words, defaults):
    """`name=value` words over the defaults, each as the kind of thing its default is."""
    fields = dict(defaults)
    for word in words:
        name, value = word.split("=")
        kind = float if defaults[name] is None else type(defaults[name])
        fields[name] = value == "yes" if kind is bool else kind(value)
    return fields


class ScenarioRunner:
    """Scheduler actions that write down what a gateway does, and the verbs of the notation."""

    def __init__(self):
        self.now, self.scheduler, self.done, self.wakes, self.time_outs = 0, None, [], [], {}
        self.terms, self.lanes, self.plans, self.executions = dict(TERMS), {}, {}, {}
        self.routes, self.advice, self.events = {}, {}, []
        self.lane("read")
        self.plan("base")

    def start_attempt(self, op_id, node, timeout):
        assert timeout >= 0
        self.executions[op_id] = self.executions.get(op_id, -1) + 1
        self.time_outs[op_id] = timeout
        self.done.append(f"run {op_id} {node}")

    def shed(self, op_id, retry_after):
        self.advice[op_id] = retry_after
        self.done.append(f"shed {op_id}")

    def fail(self, op_id):
        self.done.append(f"end {op_id}")

    def wake_after(self, delay):
        assert delay > 0
        self.wakes.append(self.now + delay)

    def poll_endpoints(self):
        self.done.append("watch")

    def cancel_attempt(self, op_id, attempt):
        self.done.append(f"withdraw {op_id} {attempt}")

    def request_load_report(self, node):
        self.done.append(f"probe {node}")

    def report_volume(self, event):
        self.events.append(event)

    def told(self, node, result, *words):
        """A node's load, or how asking for it ended: queue, and service in ms."""
        row = valued(words, {"queue": -1.0, "service": -1.0})
        row["service"] *= MS
        queue, service = (value if value >= 0 else None for value in row.values())
        self.scheduler.on_load_report(node, AttemptResult(result), queue, service)

    def terms_(self, *words):
        self.terms = valued(words, self.terms)

    def lane(self, name, *words):
        row = valued(words, LANE)
        self.lanes[name] = RequestClass(
            name,
            row["quoted"] * MS,
            row["stop"] * MS,
            row["utility"],
            Idempotency(row["repeat"]),
            DedupScope(row["group"]),
            row["window"] * MS,
            row["in_order"],
        )

    def plan(self, name, *words):
        self.plans[name] = QosPlan(name, **valued(words, PLAN))

    def route(self, lane, plan, *words):
        """A route; `copies=` none stands for no copies.  A running gateway is told at once."""
        row = valued([word for word in words if word != "copies=none"], ROUTE)
        copy_after = None if "copies=none" in words else row["copy_after"] * MS
        self.routes[lane, plan] = RoutePolicy(
            row["time_out"] * MS,
            row["executions"],
            row["wait"] * MS,
            copy_after,
            row["held"],
            row["share"],
            row["free"],
        )
        if self.scheduler:
            self.scheduler.on_route_policies(dict(self.routes))

    def start(self):
        stated = {SETTINGS[name]: value for name, value in self.terms.items()}
        settings = SchedulerSettings(
            request_classes=self.lanes, plans=self.plans, route_policies=dict(self.routes), **stated
        )
        self.wakes, self.executions = [], {}
        self.scheduler = Scheduler(settings, 7, self.now, self)

    def list(self, kind, *nodes):
        """Each node as name/cell/condition/online-since in ms/zone, the last three left out at will."""
        entries = []
        for text in nodes:
            name, cell, condition, since, zone = [*text.split("/"), "", "", ""][:5]
            state = EndpointState(condition or "ready")
            entries.append(Endpoint(name, int(cell), zone or "z", state, int(since or 0) * MS))
        self.scheduler.on_endpoints(self.now, UpdateKind(kind), entries)

    def take(self, op_ids, *words):
        row = valued(
            words,
            {
                "lane": "read",
                "plan": "base",
                "vol": "v",
                "key": "",
                "left": 0,
                "units": 2.0,
                "cell": 0,
                "mounts": 1,
                "again": False,
            },
        )
        left = row["left"] * MS or self.lanes[row["lane"]].deadline
        for op_id in op_ids.split(","):
            request = OperationRequest(
                op_id,
                row["lane"],
                row["plan"],
                row["vol"],
                row["key"],
                left,
                row["units"],
                row["cell"],
                row["mounts"],
                row["again"],
            )
            self.scheduler.on_operation(self.now, request)

    def back(self, op_ids, result, *words):
        row = valued(words, {"others": 0.0, "use": 0})
        self.scheduler.run_round(self.now)
        for op_id in op_ids.split(","):
            op_id, _, number = op_id.partition("/")
            number = int(number) if number else self.executions[op_id]
            report = AttemptReport(
                op_id, number, AttemptResult(result), result == "succeeded", row["use"], row["others"]
            )
            self.scheduler.on_attempt_result(self.now, report)

    def pause(self, milliseconds):
        self.now, self.wakes = self.now + int(milliseconds) * MS, []

    def timeout(self, op_id, milliseconds):
        assert self.time_outs[op_id] == int(milliseconds) * MS, f"{op_id}: {self.time_outs[op_id]}"

    def comeback(self, op_id, milliseconds):
        assert self.advice[op_id] == int(milliseconds) * MS, f"{op_id}: {self.advice[op_id]}"

    def play(self, text):
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            if not words:
                continue
            if words[0] == "at":
                self.until(int(words[1]) * MS)
            elif words[0] == "expect":
                self.scheduler.run_round(self.now)
                wanted = [part.strip() for part in " ".join(words[1:]).split(";")]
                wanted = [] if wanted == ["nothing"] else wanted
                assert self.done == wanted, f"line {number}: {line}: {self.done}"
                self.done = []
            elif words[0] == "count":
                self.scheduler.run_round(self.now)
                found = sum(deed.startswith(" ".join(words[2:])) for deed in self.done)
                assert found == int(words[1]), f"line {number}: {line}: {self.done}"
                self.done = []
            else:
                getattr(self, "terms_" if words[0] == "terms" else words[0])(*words[1:])

    def until(self, when):
        """Lets time pass, with the wakes that the gateway asked for."""
        if self.scheduler:
            self.scheduler.run_round(self.now)
        while self.wakes and min(self.wakes) <= when:
            self.now = min(self.wakes)
            self.wakes = [wake for wake in self.wakes if wake > self.now]
            self.scheduler.run_round(self.now)
        self.now = when


@pytest.fixture
def player():
    return ScenarioRunner()


@pytest.fixture
def another_player():
    return ScenarioRunner()
