"""Long-lived tasks that fail are logged with their cause, and are restarted or end the program.

Guards against unnoticed failures of `PlannerClient.run`, after which an edge received no changes, and of
`ReplicatedLog._run_ticks`, after which a planner no longer led.
"""

import asyncio

import pytest

from rushmux import log
from rushmux.cli import serving
from rushmux.edge.policy_client import PolicyClient
from rushmux.edge.quota_client import QuotaClient
from rushmux.planner.member_tracker import MemberTracker
from rushmux.planner.raft_transport import RaftTransport
from rushmux.settings.deployment import build
from rushmux.simulation.loop import run
from rushmux.standins import fault_scenario, policy_fleet
from rushmux.supervision import RESTART_BACKOFF, STABLE_TIME, Supervisor


class TestError(Exception):
    """The error with which tasks of these tests fail."""

    __test__ = False


def raw_deployment():
    """A deployment of two edges whose quotas a planner grants."""
    raw = fault_scenario.raw_deployment(fault_scenario.parse("edges 2\n"))
    raw["fleet"]["shares"] = True
    return raw


def failing(times, then):
    """A task function that fails the given number of times and then calls `then`."""
    left = [times]

    async def run_task():
        if left[0]:
            left[0] -= 1
            raise TestError("no")
        then()

    return run_task


def test_a_task_that_fails_is_logged_and_restarted_with_growing_pauses():
    rows, done = [], []

    async def main(loop):
        supervisor = Supervisor(log.to_list(rows))
        supervisor.run_restarting("part", failing(12, lambda: done.append(loop.time())))
        await asyncio.sleep(600)

    run(main, 1)
    pauses = [row["retry_in"] for row in rows]
    assert {(row["event"], row["task"]) for row in rows} == {("task.failed", "part")}
    assert "TestError: no" in rows[0]["exception"]
    assert pauses[:3] == [0.2, 0.4, 0.8] and pauses[-1] == RESTART_BACKOFF.max_pause and len(pauses) == 12
    assert done == [pytest.approx(sum(pauses))]


def test_the_pause_is_short_again_after_a_task_was_stable():
    rows = []

    async def main(loop):
        async def fail_after_stable_run():
            await asyncio.sleep(STABLE_TIME + 1)
            raise TestError

        Supervisor(log.to_list(rows)).run_restarting("part", fail_after_stable_run)
        await asyncio.sleep(5 * STABLE_TIME)

    run(main, 1)
    assert [row["retry_in"] for row in rows] == [0.2] * 4


def test_an_essential_task_that_fails_ends_its_program_with_an_exit_code(monkeypatch, capsys):
    """Runs the server through `serve`, as the planner's command does."""
    rows, closed = [], []

    class Server:
        def __init__(self):
            self.supervisor = Supervisor(log.to_list(rows))

        async def open(self, host, port):
            self.supervisor.run_essential("raft_ticks", failing(1, lambda: None))
            return 1

        async def close(self):
            closed.append(True)

    async def main():
        server = Server()
        address = ("127.0.0.1", 0)
        options = serving.ServerOptions("", address, None, None, "info", False)
        async with asyncio.timeout(10):
            await serving.serve(server, options, server.supervisor)

    with pytest.raises(SystemExit) as ended:
        asyncio.run(main())
    assert ended.value.code == serving.EXIT_TASK_FAILED and closed
    assert [(row["event"], row["task"]) for row in rows] == [("task.failed", "raft_ticks")]


def test_a_watched_task_that_fails_is_logged():
    rows = []

    async def main(loop):
        Supervisor(log.to_list(rows)).watch("batch", loop.create_task(failing(1, lambda: None)()))
        await asyncio.sleep(1)

    run(main, 1)
    assert [(row["event"], row["task"]) for row in rows] == [("task.failed", "batch")]
    assert "TestError" in rows[0]["exception"]


@pytest.mark.parametrize(
    "component, method, task",
    [
        (PolicyClient, "_on_grant_message", "planner_client"),
        (PolicyClient, "_apply", "policy_client"),
        (QuotaClient, "_apply", "quota_client"),
        (MemberTracker, "tick", "member_ticks"),
        (RaftTransport, "_connect", "raft_connection_"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
def test_a_component_that_failed_for_a_while_serves_again(tmp_path, monkeypatch, component, method, task):
    """A handler fails in all programs for five seconds; afterwards the fleet still takes up a new policy."""
    deployment = build(raw_deployment())
    original = getattr(component, method)

    async def main(loop):
        fleet = policy_fleet.PolicyFleet(loop, deployment, 5, tmp_path)
        await fleet.start(1, 2)
        failing_until = loop.time() + 5

        def fail_for_a_while(self, *values):
            if loop.time() < failing_until:
                raise TestError
            return original(self, *values)

        monkeypatch.setattr(component, method, fail_for_a_while)
        for edge in fleet.edges.values():  # connections to planners hold their own reference to the handler
            client = edge.program.planner_client
            client.on_policy_grant = edge.program.policy_client._on_grant_message
        for planner in fleet.planners.values():
            planner.program.abort_connections()
        await fleet.sleep(15)
        raw = raw_deployment()
        raw["plans"]["basico"].update(limit=40.0, burst=80.0)
        await fleet.send_policy_command("down", "propose", text=policy_fleet.documents.serialize(raw))
        await fleet.sleep(10)
        return fleet

    fleet = run(main, 5)
    failed = {row["task"] for row in fleet.logs if row["event"] == "task.failed"}
    assert any(name.startswith(task) for name in failed)
    for edge in fleet.edges.values():
        member = edge.program.policy_client.member
        assert member.active_version == 2 and member.is_serving()
