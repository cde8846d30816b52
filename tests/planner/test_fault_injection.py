"""Fault scenarios with real processes, and their checker.  `rushmux rig --all` runs all scenarios."""

import asyncio
import random
from collections import Counter

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.standins import fault_injection, fault_scenario
from rushmux.standins.fault_proxy import HOST, FaultProxies
from rushmux.standins.policy_history_checker import ActivePolicy, check_answers, check_operations

# The scenarios with the most faults; about twenty more are run by hand.
SCENARIOS = (
    "leader-at-stage",
    "leader-at-decision",
    "edge-stopped",
    "edge-cut-off",
    "minority-believes",
    "leader-stopped",
    "disk-full-at-stage",
    "not-proved",
    "planner-empty-disk",
    "planner-torn-log",
    "on-top-of-one-that-hangs",
    "forth-and-back",
)


def test_fault_scenarios_break_no_rule(tmp_path):
    scenarios = [fault_scenario.load(name) for name in SCENARIOS]
    results = asyncio.run(fault_injection.run_scenarios(scenarios, tmp_path, jobs=4, seed=1))
    assert {result.scenario: result.breaches for result in results if result.breaches} == {}
    for result in results:
        assert result.facts["answers"] > 100, result
    # The limits were used; otherwise their rule was not tested.
    assert max(count for result in results for name, count in result.facts.items() if "used" in name) > 40


def test_stalls_of_a_node_are_not_taken_for_attempts_after_the_answer(tmp_path):
    # Attempts that waited in a stalled node's socket were recorded as sent when the node read them.
    scenario = fault_scenario.parse("length 12\nat 3 stop node0 1.2\nat 7 stop node0 1.6", "node-stopped")
    [result] = asyncio.run(fault_injection.run_scenarios([scenario], tmp_path, jobs=1, seed=1))
    assert result.breaches == []
    assert result.facts["answers"] > 100, result


def test_an_invalid_line_of_a_scenario_is_rejected():
    for text, message in (
        ("at 2 explode leader", "no verb 'explode'"),
        ("wibble", "unknown form of line"),
        ("at soon kill leader", "could not convert"),
        ("edges many", "invalid literal"),
        ("expect down", "unknown form of line"),
        ("on propose", "out of range"),
    ):
        with pytest.raises(fault_scenario.ScenarioError, match=message):
            fault_scenario.parse(text)
    result = CliRunner().invoke(main, ["rig", "no-such-story"])
    assert result.exit_code == 1 and "cannot be read" in result.output and "Traceback" not in result.output
    assert "there are" in CliRunner().invoke(main, ["rig"]).output


def execution(at, number, op="e.1.1/s", *, units=10.0, folder="a", count=0):
    return {
        "kind": "execution",
        "at": at,
        "op": op,
        "policy": number,
        "units": units,
        "volume": folder,
        "execution": count,
    }


def test_the_checker_finds_violations():
    policies = {1: ActivePolicy(0.0, {"a": (10.0, 20.0)}), 2: ActivePolicy(10.0, {"a": (2.0, 4.0)})}
    assert check_operations([execution(1.0, 1), execution(1.1, 1, "e.1.2/s")], policies, Counter()) == []
    assert "not decided" in check_operations([execution(5.0, 2)], policies, Counter())[0]
    assert "not decided" in check_operations([execution(5.0, 9)], policies, Counter())[0]
    under_two_policies = [execution(11.0, 1), execution(11.1, 2, count=1)]
    assert "under 1 and 2" in check_operations(under_two_policies, policies, Counter())[0]
    above_limit = [execution(11.0 + index / 100, 2, f"e.1.{index}/s", units=1.0) for index in range(8)]
    assert "units at once under 2" in check_operations(above_limit, policies, Counter())[0]
    fenced = [{"kind": "fenced", "op": row["op"], "execution": 0} for row in above_limit]
    assert check_operations(above_limit + fenced, policies, Counter()) == []
    commands = [{"word": "down", "verb": "propose", "said": "2 is staged", "number": 2}]
    assert check_answers(commands, {2: "decided"}, [("down", "decided"), ("force", "2")], 2) == []
    assert check_answers(commands, {2: "ended"}, [("down", "decided")], 1) and check_answers(
        commands, {}, [("force", "2")], 1
    )
    assert check_answers(commands, {}, [("up", "decided")], 1)
    refused = [{"word": "down", "verb": "propose", "said": "refused: x", "number": 2}]
    assert "told refused" in check_answers(refused, {2: "decided"}, [], 2)[0]


def test_a_proxy_holds_data_back_while_cut_and_delivers_it_when_healed():
    async def main():
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, HOST, 0)
        proxies = FaultProxies(random.Random(1))
        proxies.targets["b"] = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, await proxies.port("a", "b"))
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        proxies.block(["a"], ["b"])
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(3)
        proxies.heal(["a"], ["b"])
        assert await reader.readexactly(3) == b"two"
        proxies.link("b", "a").reset_after = 2
        writer.write(b"three")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(5)
        writer.close()
        await proxies.close()
        server.close()

    asyncio.run(main())
