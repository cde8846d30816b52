"""An edge's stored policy, the encoding of its leases, and the policy commands against a fleet."""

import asyncio
import copy
import json

import pytest
from click.testing import CliRunner

from rushmux.cli.main import main
from rushmux.edge.policy_codec import decode_lease_grant
from rushmux.edge.policy_store import (
    PolicyFormatError,
    PolicyStore,
    StoredPolicyError,
    initial_policy,
)
from rushmux.fleet.policy import LeaseGrant, Policy
from rushmux.nodewire import WireError
from rushmux.planner import raft_codec
from rushmux.settings import policy as documents
from rushmux.settings.deployment import DeploymentError, build
from rushmux.standins import fault_scenario, scenario_fleet

RAW = fault_scenario.raw_deployment(fault_scenario.parse("edges 3\n"))
DEPLOYMENT = build(RAW)


class Log:
    def __init__(self):
        self.rows = []

    def error(self, event, **fields):
        self.rows.append((event, fields))


def policy(number, raw=RAW):
    return Policy(number, documents.serialize(raw), tuple(documents.limit_rows(build(raw))))


def changed_raw(**plan):
    raw = copy.deepcopy(RAW)
    raw["plans"]["basico"].update(plan)
    return raw


def test_stored_policies_are_read_back_and_a_damaged_file_is_ignored(tmp_path):
    store, log = PolicyStore(tmp_path / "p"), Log()
    assert store.load() == (None, None) and initial_policy(DEPLOYMENT, store, log) == (
        DEPLOYMENT,
        (None, None),
    )
    both = policy(3, changed_raw(limit=40)), policy(4)
    store.save(*both)
    assert store.load() == both
    assert initial_policy(DEPLOYMENT, store, log)[0].settings.plans["basico"].limit == 40 and log.rows == []
    full = store.path.read_bytes()
    for invalid in (full[:-30], full.replace(b"basico", b"basic0", 1), b"", b"[]", b"\xff"):
        store.path.write_bytes(invalid)
        with pytest.raises(StoredPolicyError):
            store.load()
        assert initial_policy(DEPLOYMENT, store, log) == (DEPLOYMENT, (None, None))
    assert len(log.rows) == 5 and log.rows[0][0] == "policy.load_failed"


def test_a_newer_format_is_rejected_and_not_overwritten(tmp_path):
    (tmp_path / "e").mkdir()
    path = tmp_path / "e" / "policy.kept"
    path.write_text(json.dumps(["rushmux policy", 2, 0, ""]))
    with pytest.raises(PolicyFormatError, match="format 2, this edge reads 1"):
        initial_policy(DEPLOYMENT, PolicyStore(path), Log())
    file = tmp_path / "d.json"
    file.write_text(json.dumps(RAW))
    result = CliRunner().invoke(
        main, ["edge", "--deployment", str(file), "--lists", "127.0.0.1:9", "--data", str(tmp_path / "e")]
    )
    assert result.exit_code == 1 and "format 2" in result.output and json.loads(path.read_text())[1] == 2
    result = CliRunner().invoke(main, ["edge", "--deployment", str(file), "--lists", "127.0.0.1:9"])
    assert result.exit_code == 1 and "needs --data" in result.output


def test_changes_that_need_a_restart_and_unknown_sections_are_rejected():
    assert documents.restart_obstacles(DEPLOYMENT, build(changed_raw(limit=40, burst=90))) == []
    routes = {**copy.deepcopy(RAW), "routes": RAW["routes"][:1]}
    assert documents.restart_obstacles(DEPLOYMENT, build(routes)) == []
    weight = documents.restart_obstacles(DEPLOYMENT, build(changed_raw(weight=7)))
    assert weight == ["/plans/basico/weight: changes only with a start"]
    unlimited = copy.deepcopy(RAW)
    del unlimited["plans"]["basico"]["limit"]
    assert documents.restart_obstacles(DEPLOYMENT, build(unlimited)) == [
        "/plans/basico/limit: changes only with a start"
    ]
    with pytest.raises(DeploymentError, match="no such part"):
        documents.merge(DEPLOYMENT, json.dumps({**json.loads(documents.serialize(RAW)), "tides": 1}), "x")
    with pytest.raises(DeploymentError, match="is no JSON"):
        documents.merge(DEPLOYMENT, "{", "x")
    again = dict(reversed(list(RAW.items())))
    assert documents.serialize(again) == documents.serialize(RAW)


def test_a_grant_omits_known_policies_and_a_wrong_checksum_is_rejected():
    first, second = policy(1), policy(2, changed_raw(limit=40))
    grant = LeaseGrant("edge0", 5, 2, 9, first, second)
    full = raft_codec.encode_grant(grant, ())
    assert decode_lease_grant(full, {}) == grant
    short = raft_codec.encode_grant(grant, (1,))
    assert not short.force.text and decode_lease_grant(short, {1: first}) == grant
    with pytest.raises(WireError):
        decode_lease_grant(short, {})
    with pytest.raises(WireError):
        decode_lease_grant(short, {1: first._replace(text="other")})
    full.staged.rows[0].limit += 1
    with pytest.raises(WireError, match="checksum"):
        decode_lease_grant(full, {})


def test_operators_change_the_policy_from_the_command_line(tmp_path):
    scenario = fault_scenario.parse("edges 2\nnodes 1\n")
    raw = fault_scenario.raw_deployment(scenario)
    file = tmp_path / "deployment.json"
    file.write_text(json.dumps(raw))

    async def run_commands():
        fleet = scenario_fleet.ScenarioFleet(scenario, file, build(raw), tmp_path, 3)

        async def run_command(*args):
            addresses = ",".join(f"{host}:{port}" for host, port in fleet.planner_addresses)
            return await asyncio.to_thread(
                CliRunner().invoke, main, ["policy", *args, "--planner", addresses]
            )

        try:
            await fleet.start(1, 2)
            other = copy.deepcopy(raw)
            other["plans"]["basico"].update(limit=44, burst=99)
            (tmp_path / "other.json").write_text(json.dumps(other))
            invalid = copy.deepcopy(raw)
            invalid["plans"]["basico"]["weight"] = 5
            (tmp_path / "bad.json").write_text(json.dumps(invalid))
            diff = await run_command("diff", str(tmp_path / "other.json"))
            proposed = await run_command(
                "propose", str(tmp_path / "other.json"), "--wait", "20", "--base", "1"
            )
            rejected = await run_command("propose", str(tmp_path / "bad.json"))
            outdated = await run_command("propose", str(tmp_path / "other.json"), "--base", "1")
            reverted = await run_command("revert", "1", "--wait", "20")
            return [
                diff,
                proposed,
                rejected,
                outdated,
                reverted,
                await run_command("withdraw", "2"),
                await run_command("forget", "edge9"),
                await run_command("show"),
                await run_command("show", "--text"),
                await run_command("history"),
                await run_command("watch", "--looks", "1"),
                await run_command("diff", "--past", "2"),
            ]
        finally:
            await fleet.stop()

    results = asyncio.run(run_commands())
    diff, proposed, rejected, outdated, reverted, withdraw, forget, show, text, history, watch, past = results
    assert '+   "limit": 44' in diff.output
    assert proposed.exit_code == 0 and "2 is decided: 2 of 2 were there" in proposed.output
    assert rejected.exit_code == 1 and "/plans/basico/weight: changes only with a start" in rejected.output
    assert outdated.exit_code == 1 and "made on 1, and 2 is in force" in outdated.output
    assert reverted.exit_code == 0 and "3 is decided" in reverted.output
    assert withdraw.exit_code == 1 and "propose a revert" in withdraw.output
    assert forget.exit_code == 1 and "no member 'edge9'" in forget.output
    assert "in force: 3; under way: none" in show.output and "edge1" in show.output
    assert json.loads(text.output)["plans"]["basico"]["limit"] == 60
    assert [line.split()[1] for line in history.output.splitlines()] == ["decided"] * 3
    assert "edge0: goes by" in watch.output and "change 3: decided" in watch.output
    assert "44" in past.output
