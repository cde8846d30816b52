"""Data stored by earlier versions is read correctly, and written again byte for byte."""

import base64
import json
import shutil
import zlib
from pathlib import Path

import pytest

from rushmux.buffer import journal
from rushmux.edge.endpoint_cache import EndpointCache
from rushmux.edge.policy_store import PolicyStore
from rushmux.fleet import policy, raft
from rushmux.lab import experiment
from rushmux.lab.result_store import ResultKey, ResultStore
from rushmux.nodewire import messages
from rushmux.planner.membership_store import MemberRow, MembershipStore
from rushmux.planner.raft_storage import RaftStorage
from rushmux.settings import deployment
from rushmux.standins import fault_scenario, script
from rushmux.standins.store import Store as NodeStore

STORED = Path(__file__).with_name("data") / "stored"
SAVE_TIME = 1_764_000_000.25
STORY_SIZES = (34.0, 2, 2)  # length, steps and expectations
CARIBE, HEREDIA = "caribe", "heredia"


class SilentLog:
    def __getattr__(self, level):
        return lambda event, **fields: None


@pytest.fixture
def stored(tmp_path):
    """A copy of a recorded file, which may be written to."""

    def copy_file(name):
        return Path(shutil.copy(STORED / name, tmp_path / name))

    return copy_file


def ready(**fields):
    empty = {
        "hard_state": None,
        "snapshot": None,
        "truncate_from": None,
        "entries": (),
        "messages": (),
        "restore": None,
        "committed": (),
    }
    return raft.Ready(**{**empty, **fields})


def command_entry(text):
    return raft.Entry(3, raft.EntryKind.COMMAND, text.encode())


DRAIN = '{"kind":"drain","member":"node1"}'
UNDRAIN = '{"kind":"undrain","member":"node1"}'


def test_the_planners_log_holds_its_vote_and_entries(stored):
    log = RaftStorage(stored("planner.log"), lambda: "other")
    assert (log.incarnation, log.persistent.term, log.persistent.voted_for) == ("77aa", 3, "b/1")
    assert log.persistent.snapshot == raft.Snapshot(0, 0, ("a/77aa", "b/1"), b"")
    assert log.persistent.entries == (
        raft.Entry(2, raft.EntryKind.NOOP, b""),
        command_entry(UNDRAIN),
        raft.Entry(3, raft.EntryKind.CONFIGURATION, ("a/77aa",)),
    )
    log.release()


def test_a_torn_planners_log_loses_its_last_record_only(stored):
    log = RaftStorage(stored("planner-torn.log"), lambda: "other")
    assert log.persistent.entries == (raft.Entry(2, raft.EntryKind.NOOP, b""), command_entry(UNDRAIN))
    log.release()


def test_the_planners_log_is_written_as_before(tmp_path):
    log = RaftStorage(tmp_path / "planner.log", lambda: "77aa")
    log.create(raft.bootstrap(["a/77aa", "b/1"]))
    first, second = (
        raft.Entry(2, raft.EntryKind.NOOP, b""),
        raft.Entry(2, raft.EntryKind.COMMAND, DRAIN.encode()),
    )
    log.write(ready(hard_state=raft.HardState(3, "b/1"), entries=((1, first), (2, second))))
    members = raft.Entry(3, raft.EntryKind.CONFIGURATION, ("a/77aa",))
    log.write(ready(truncate_from=2, entries=((2, command_entry(UNDRAIN)), (3, members))))
    log.release()
    assert (tmp_path / "planner.log").read_bytes() == (STORED / "planner.log").read_bytes()


def test_a_planners_log_with_a_snapshot_holds_the_policy_and_the_clients_answers(stored):
    log = RaftStorage(stored("planner-snapshot.log"), lambda: "other")
    snapshot = log.persistent.snapshot
    assert (snapshot.index, snapshot.term, snapshot.members) == (2, 4, ("a/77bb", "b/1", "c/1"))
    assert (log.persistent.term, log.persistent.voted_for) == (5, "c/1")
    assert log.persistent.entries == (
        raft.Entry(5, raft.EntryKind.COMMAND, b'{"kind":"back","number":2,"members":["edge1"]}'),
    )
    state = json.loads(zlib.decompress(base64.b64decode(snapshot.state)))
    assert state["sessions"] == [["ana/1", 3, "2 is staged"]]
    assert state["register"].encode() == (STORED / "register-snapshot.json").read_bytes()
    log.release()


def test_a_snapshot_of_the_policy_is_restored_completely_and_written_as_before():
    recorded = (STORED / "register-snapshot.json").read_bytes()
    state_machine = policy.PolicyStateMachine.from_snapshot(recorded)
    assert (
        state_machine.members == ("edge0", "edge1")
        and state_machine.last_version == 3
        and state_machine.proposed_by == "ana"
    )
    assert state_machine.active == policy.Policy(2, '{"a":2}', ((CARIBE, 20.0, 40.0), (HEREDIA, 0, 0)))
    assert state_machine.staged == policy.Policy(3, '{"a":3}', ((CARIBE, 30.0, 60.0), (HEREDIA, 10.0, 20.0)))
    assert state_machine.member_versions == {"edge0": 2, "edge1": 1} and state_machine.fencing_floor == 2
    assert list(state_machine.drained_nodes) == ["node1"] and list(state_machine.forgotten) == ["edge1"]
    assert [(past.version, past.outcome, past.proposed_by) for past in state_machine.history] == [
        (1, "decided", "ana"),
        (2, "decided", "ana"),
    ]
    assert list(state_machine.past_policies) == [1] and list(state_machine.limits_by_version) == [2]
    assert state_machine.to_snapshot() == recorded


def test_the_membership_store_holds_its_rows_and_version(stored):
    store = MembershipStore(stored("planner.db"))
    rows, damaged = store.load()
    assert not damaged and store.version == 17 and store.term == 2
    edge, node = rows
    assert edge == MemberRow("edge0", "edge", "e1", True, b"") and (
        (node.name, node.kind, node.incarnation) == ("node0", "node", "s1")
    )
    entry = messages.Entry.FromString(node.entry)
    assert (entry.node, entry.cell, entry.zone, entry.condition) == ("node0", 2, "z1", "ready")
    store.close()


def test_the_edges_cached_endpoint_list_is_read_with_its_nodes_ages(stored):
    listing = EndpointCache(stored("edge-list.bin"), lambda: SAVE_TIME + 2, SilentLog()).load()
    assert (listing.version, listing.whole, listing.cells) == (10, True, 4)
    (entry,) = listing.entries
    assert (entry.node, entry.host, entry.condition, entry.age) == ("node1", "10.0.0.2", "draining", 70)


def test_the_edges_cached_endpoint_list_is_written_as_before(tmp_path):
    path = tmp_path / "edge-list.bin"
    entry = messages.Entry(
        node="node1",
        host="10.0.0.2",
        port=7001,
        cell=3,
        zone="z2",
        condition="draining",
        start="s2",
        age=70,
    )
    EndpointCache(path, lambda: SAVE_TIME, SilentLog()).update(
        messages.Listing(version=10, whole=True, cells=4, entries=[entry])
    )
    assert path.read_bytes() == (STORED / "edge-list.bin").read_bytes()


def test_the_edges_stored_policies_are_read_and_written_as_before(stored, tmp_path):
    active, staged = PolicyStore(stored("edge-policy.json")).load()
    assert active == policy.Policy(2, '{"a":2}', ((CARIBE, 20.0, 40.0), (HEREDIA, 0, 0)))
    assert staged == policy.Policy(3, '{"a":3}', ((CARIBE, 30.0, 60.0), (HEREDIA, 10.0, 20.0)))
    PolicyStore(tmp_path / "again.json").save(active, staged)
    assert (tmp_path / "again.json").read_bytes() == (STORED / "edge-policy.json").read_bytes()


def test_a_segment_of_the_buffers_log_holds_the_writes_that_no_node_has():
    recorded = (STORED / "buffer-00000001-000001.log").read_bytes()
    contents = journal.decode_segment(recorded)
    assert not contents.torn and contents.corrupt_at is None
    assert [record.data for record in contents.records if isinstance(record, journal.WriteRecord)] == [
        b"held",
        b"held too",
    ]
    reencoded = b"".join(map(journal.encode, contents.records))
    assert journal.HEADER + reencoded == recorded


def test_a_nodes_store_holds_its_object_row_mark_and_fencing_floor(stored):
    store = NodeStore(str(stored("node.db")), 2, 1 << 20, 30.0)
    read = store.read(messages.ReadObject(object="o1", offset=0, length=9))
    assert read.data == b"data" and store.fencing_floor == 2
    assert tuple(store.row(HEREDIA, "d/0/a")) == ("d/0/a", b'["f1"]', 1)
    repeated = store.change(HEREDIA, messages.Change(mark="m1"), 6.0)
    assert [(row.key, row.version) for row in repeated.rows] == [("d/0/a", 1)]
    store.close()


def test_results_of_the_lab_are_found_again(stored):
    store = ResultStore(stored("results.db"))
    assert store.get(ResultKey("what", "module", 3)) == {"G": 0.5, "rules": {"kept": True}}
    store.close()


def test_a_deployment_file_is_read_with_the_same_settings():
    loaded = deployment.load(STORED / "deployment.json")
    request_class = loaded.settings.request_classes["lectura"]
    assert (request_class.latency_objective, request_class.idempotency, loaded.settings.round_interval) == (
        4_000,
        "replayable",
        50,
    )
    keyed = loaded.settings.request_classes["registro"]
    assert (keyed.idempotency, keyed.dedup_scope, keyed.dedup_window, keyed.ordered) == (
        "referenced",
        "cell",
        200_000,
        True,
    )


def test_a_day_a_story_and_an_experiment_are_read():
    day = script.load(STORED / "day.txt")
    assert day.length == 14 and len(day.events) == 9
    assert day.events[0] == script.Event(1.5, "trouble", "node1", "silent", 0.0, 2.0)
    assert day.events[2] == script.Event(3.5, "replace", "node0", "node0b")
    assert day.events[7] == script.Event(9.0, "surge", "bodega-sur", "", 6.0, 3.0)
    story = fault_scenario.load(STORED / "story.txt")
    assert (story.sizes["length"], len(story.steps), len(story.expectations)) == STORY_SIZES
    assert experiment.load(STORED / "experiment.json")["variants"]
