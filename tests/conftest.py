"""Shared fixtures, and the runner of scenarios in the notation of tests/scenarios/README.md."""

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


RUN_MARKER = f"RUSHMUX_TEST_RUN=a{os.getpid()}z"
EXIT_TIMEOUT = 10  # seconds for all processes that the tests started to exit


def processes_of_this_run():
    """Returns the command lines, by process id, of running processes that these tests started."""
    found = {}
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            environment = (folder / "environ").read_bytes()
            command = (folder / "cmdline").read_bytes().replace(b"\0", b" ").decode()
        except OSError:  # the process has exited
            continue
        # The resource tracker of multiprocessing runs as long as this process.
        if RUN_MARKER.encode() in environment and command and "resource_tracker" not in command:
            found[int(folder.name)] = command
    return found


@pytest.fixture(scope="session", autouse=True)
def no_process_is_left_behind():
    """Checks at the end that all processes started by tests, directly or not, have exited."""
    name, value = RUN_MARKER.split("=")
    os.environ[name] = value
    yield
    until = time.monotonic() + EXIT_TIMEOUT
    while (left := processes_of_this_run()) and time.monotonic() < until:
        time.sleep(0.2)
    assert left == {}


def pytest_addoption(parser):
    parser.addoption("--seeds", default="", help="FIRST:END, instead of the few seeds of CI")


# Names of settings in the notation and in the interface; other rows are converted where they are parsed.
SETTING_NAMES = {
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
DEFAULT_TERMS = {
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
DEFAULT_LANE = {
    "quoted": 400,
    "stop": 2000,
    "utility": 1.0,
    "repeat": "replayable",
    "group": "all",
    "window": 3000,
    "in_order": False,
}
DEFAULT_ROUTE = {
    "time_out": 1 << 40,
    "executions": 1 << 40,
    "wait": 0,
    "copy_after": 0,
    "held": 1 << 40,
    "share": 0.0,
    "free": 1e12,
}
DEFAULT_PLAN = {
    "nominal": 4.0,
    "reserve": 2.0,
    "limit": 0.0,
    "burst": 0.0,
    "slack": 0.0,
    "weight": 1.0,
    "price": 1.0,
}


def parse_fields(words, defaults):
    """Parses `name=value` words, typed by the defaults, which fill in for missing ones."""
    fields = dict(defaults)
    for word in words:
        name, value = word.split("=")
        kind = float if defaults[name] is None else type(defaults[name])
        fields[name] = value == "yes" if kind is bool else kind(value)
    return fields


class ScenarioRunner:
    """Runs the steps of a scenario, which are its methods, and records the scheduler's actions."""

    def __init__(self):
        self.now, self.scheduler, self.actions, self.wake_times, self.timeouts = 0, None, [], [], {}
        self.terms, self.lanes, self.plans, self.attempts = dict(DEFAULT_TERMS), {}, {}, {}
        self.routes, self.retry_after, self.volume_events = {}, {}, []
        self.lane("read")
        self.plan("base")

    def start_attempt(self, op_id, node, timeout):
        assert timeout >= 0
        self.attempts[op_id] = self.attempts.get(op_id, -1) + 1
        self.timeouts[op_id] = timeout
        self.actions.append(f"run {op_id} {node}")

    def shed(self, op_id, retry_after):
        self.retry_after[op_id] = retry_after
        self.actions.append(f"shed {op_id}")

    def fail(self, op_id):
        self.actions.append(f"end {op_id}")

    def wake_after(self, delay):
        assert delay > 0
        self.wake_times.append(self.now + delay)

    def poll_endpoints(self):
        self.actions.append("watch")

    def cancel_attempt(self, op_id, attempt):
        self.actions.append(f"withdraw {op_id} {attempt}")

    def request_load_report(self, node):
        self.actions.append(f"probe {node}")

    def report_volume(self, event):
        self.volume_events.append(event)

    def told(self, node, result, *words):
        """Reports a node's load, or the outcome of the request for it: queue, and service in ms."""
        row = parse_fields(words, {"queue": -1.0, "service": -1.0})
        row["service"] *= MS
        queue, service = (value if value >= 0 else None for value in row.values())
        self.scheduler.on_load_report(node, AttemptResult(result), queue, service)

    def terms_(self, *words):
        self.terms = parse_fields(words, self.terms)

    def lane(self, name, *words):
        row = parse_fields(words, DEFAULT_LANE)
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
        self.plans[name] = QosPlan(name, **parse_fields(words, DEFAULT_PLAN))

    def route(self, lane, plan, *words):
        """Sets a route policy, at once for a running gateway; `copies=none` turns hedging off."""
        row = parse_fields([word for word in words if word != "copies=none"], DEFAULT_ROUTE)
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
        stated = {SETTING_NAMES[name]: value for name, value in self.terms.items()}
        settings = SchedulerSettings(
            request_classes=self.lanes, plans=self.plans, route_policies=dict(self.routes), **stated
        )
        self.wake_times, self.attempts = [], {}
        self.scheduler = Scheduler(settings, 7, self.now, self)

    def list(self, kind, *nodes):
        """Delivers nodes as name/cell/state/online-since in ms/zone; the last three are optional."""
        entries = []
        for text in nodes:
            name, cell, condition, since, zone = [*text.split("/"), "", "", ""][:5]
            state = EndpointState(condition or "ready")
            entries.append(Endpoint(name, int(cell), zone or "z", state, int(since or 0) * MS))
        self.scheduler.on_endpoints(self.now, UpdateKind(kind), entries)

    def take(self, op_ids, *words):
        row = parse_fields(
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
        row = parse_fields(words, {"others": 0.0, "use": 0})
        self.scheduler.run_round(self.now)
        for op_id in op_ids.split(","):
            op_id, _, number = op_id.partition("/")
            number = int(number) if number else self.attempts[op_id]
            report = AttemptReport(
                op_id, number, AttemptResult(result), result == "succeeded", row["use"], row["others"]
            )
            self.scheduler.on_attempt_result(self.now, report)

    def pause(self, milliseconds):
        self.now, self.wake_times = self.now + int(milliseconds) * MS, []

    def timeout(self, op_id, milliseconds):
        assert self.timeouts[op_id] == int(milliseconds) * MS, f"{op_id}: {self.timeouts[op_id]}"

    def comeback(self, op_id, milliseconds):
        assert self.retry_after[op_id] == int(milliseconds) * MS, f"{op_id}: {self.retry_after[op_id]}"

    def play(self, text):
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            if not words:
                continue
            if words[0] == "at":
                self.until(int(words[1]) * MS)
            elif words[0] == "expect":
                self.scheduler.run_round(self.now)
                expected = [part.strip() for part in " ".join(words[1:]).split(";")]
                expected = [] if expected == ["nothing"] else expected
                assert self.actions == expected, f"line {number}: {line}: {self.actions}"
                self.actions = []
            elif words[0] == "count":
                self.scheduler.run_round(self.now)
                found = sum(action.startswith(" ".join(words[2:])) for action in self.actions)
                assert found == int(words[1]), f"line {number}: {line}: {self.actions}"
                self.actions = []
            else:
                getattr(self, "terms_" if words[0] == "terms" else words[0])(*words[1:])

    def until(self, when):
        """Advances the time, with a round at each wake-up that the scheduler requested."""
        if self.scheduler:
            self.scheduler.run_round(self.now)
        while self.wake_times and min(self.wake_times) <= when:
            self.now = min(self.wake_times)
            self.wake_times = [wake for wake in self.wake_times if wake > self.now]
            self.scheduler.run_round(self.now)
        self.now = when


@pytest.fixture
def scenario():
    return ScenarioRunner()


@pytest.fixture
def second_scenario():
    return ScenarioRunner()
