"""An edge's stored policy and its leases on the wire; the policy commands, on processes."""

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
OWN = build(RAW)


class Log:
    def __init__(self):
        self.rows = []

    def error(self, event, **fields):
        self.rows.append((event, fields))


def policy(number, raw=RAW):
    return Policy(number, documents.serialize(raw), tuple(documents.limit_rows(build(raw))))


def changed(**plan):
    raw = copy.deepcopy(RAW)
    raw["plans"]["basico"].update(plan)
    return raw


def test_stored_policies_are_read_again_and_a_damaged_file_counts_as_none(tmp_path):
    store, log = PolicyStore(tmp_path / "p"), Log()
    assert store.load() == (None, None) and initial_policy(OWN, store, log) == (OWN, (None, None))
    both = policy(3, changed(limit=40)), policy(4)
    store.save(*both)
    assert store.load() == both
    assert initial_policy(OWN, store, log)[0].settings.plans["basico"].limit == 40 and log.rows == []
    whole = store.path.read_bytes()
    for bad in (whole[:-30], whole.replace(b"basico", b"basic0", 1), b"", b"[]", b"\xff"):
        store.path.write_bytes(bad)
        with pytest.raises(StoredPolicyError):
            store.load()
        assert initial_policy(OWN, store, log) == (OWN, (None, None))
    assert len(log.rows) == 5 and log.rows[0][0] == "policy.load_failed"


def test_a_newer_format_is_rejected_and_not_written_over(tmp_path):
    (tmp_path / "e").mkdir()
    path = tmp_path / "e" / "policy.kept"
    path.write_text(json.dumps(["rushmux policy", 2, 0, ""]))
    with pytest.raises(PolicyFormatError, match="format 2, this edge reads 1"):
        initial_policy(OWN, PolicyStore(path), Log())
    file = tmp_path / "d.json"
    file.write_text(json.dumps(RAW))
    result = CliRunner().invoke(
        main, ["edge", "--deployment", str(file), "--lists", "127.0.0.1:9", "--data", str(tmp_path / "e")]
    )
    assert result.exit_code == 1 and "format 2" in result.output and json.loads(path.read_text())[1] == 2
    result = CliRunner().invoke(main, ["edge", "--deployment", str(file), "--lists", "127.0.0.1:9"])
    assert result.exit_code == 1 and "needs --data" in result.output


def test_changes_that_need_a_start_and_unknown_parts_are_rejected():
    assert documents.restart_obstacles(OWN, build(changed(limit=40, burst=90))) == []
    routes = {**copy.deepcopy(RAW), "routes": RAW["routes"][:1]}
    assert documents.restart_obstacles(OWN, build(routes)) == []
    weight = documents.restart_obstacles(OWN, build(changed(weight=7)))
    assert weight == ["/plans/basico/weight: changes only with a start"]
    unlimited = copy.deepcopy(RAW)
    del unlimited["plans"]["basico"]["limit"]
    assert documents.restart_obstacles(OWN, build(unlimited)) == [
        "/plans/basico/limit: changes only with a start"
    ]
    with pytest.raises(DeploymentError, match="no such part"):
        documents.merge(OWN, json.dumps({**json.loads(documents.serialize(RAW)), "tides": 1}), "x")
    with pytest.raises(DeploymentError, match="is no JSON"):
        documents.merge(OWN, "{", "x")
    again = dict(reversed(list(RAW.items())))
    assert documents.serialize(again) == documents.serialize(RAW)


def test_a_grant_leaves_out_policies_that_the_member_has_and_a_wrong_checksum_is_rejected():
    first, second = policy(1), policy(2, changed(limit=40))
    grant = LeaseGrant("edge0", 5, 2, 9, first, second)
    whole = raft_codec.encode_grant(grant, ())
    assert decode_lease_grant(whole, {}) == grant
    short = raft_codec.encode_grant(grant, (1,))
    assert not short.force.text and decode_lease_grant(short, {1: first}) == grant
    with pytest.raises(WireError):
        decode_lease_grant(short, {})
    with pytest.raises(WireError):
        decode_lease_grant(short, {1: first._replace(text="other")})
    whole.staged.rows[0].limit += 1
    with pytest.raises(WireError, match="checksum"):
        decode_lease_grant(whole, {})


def test_operators_change_the_policy_by_the_command_line(tmp_path):
    story = fault_scenario.parse("edges 2\nnodes 1\n")
    raw = fault_scenario.raw_deployment(story)
    file = tmp_path / "deployment.json"
    file.write_text(json.dumps(raw))

    async def play():
        fleet = scenario_fleet.ScenarioFleet(story, file, build(raw), tmp_path, 3)

        async def asks(*words_):
            place = ",".join(f"{host}:{port}" for host, port in fleet.places)
            return await asyncio.to_thread(CliRunner().invoke, main, ["policy", *words_, "--planner", place])

        try:
            await fleet.up(1, 2)
            other = copy.deepcopy(raw)
            other["plans"]["basico"].update(limit=44, burst=99)
            (tmp_path / "other.json").write_text(json.dumps(other))
            bad = copy.deepcopy(raw)
            bad["plans"]["basico"]["weight"] = 5
            (tmp_path / "bad.json").write_text(json.dumps(bad))
            diff = await asks("diff", str(tmp_path / "other.json"))
            told = await asks("propose", str(tmp_path / "other.json"), "--wait", "20", "--base", "1")
            refused = await asks("propose", str(tmp_path / "bad.json"))
            based = await asks("propose", str(tmp_path / "other.json"), "--base", "1")
            back = await asks("revert", "1", "--wait", "20")
            return [
                diff,
                told,
                refused,
                based,
                back,
                await asks("withdraw", "2"),
                await asks("forget", "edge9"),
                await asks("show"),
                await asks("show", "--text"),
                await asks("history"),
                await asks("watch", "--looks", "1"),
                await asks("diff", "--past", "2"),
            ]
        finally:
            await fleet.down()

    found = asyncio.run(play())
    diff, told, refused, based, back, withdraw, forget, show, text, history, watch, past = found
    assert '+   "limit": 44' in diff.output
    assert told.exit_code == 0 and "2 is decided: 2 of 2 were there" in told.output
    assert refused.exit_code == 1 and "/plans/basico/weight: changes only with a start" in refused.output
    assert based.exit_code == 1 and "made on 1, and 2 is in force" in based.output
    assert back.exit_code == 0 and "3 is decided" in back.output
    assert withdraw.exit_code == 1 and "propose a revert" in withdraw.output
    assert forget.exit_code == 1 and "no member 'edge9'" in forget.output
    assert "in force: 3; under way: none" in show.output and "edge1" in show.output
    assert json.loads(text.output)["plans"]["basico"]["limit"] == 60
    assert [line.split()[1] for line in history.output.splitlines()] == ["decided"] * 3
    assert "edge0: goes by" in watch.output and "change 3: decided" in watch.output
    assert "44" in past.output
