"""All wire protocols against recordings of earlier versions: recorded bytes in, recorded bytes out."""

import io
import json
from pathlib import Path

import pytest

from rushmux.edge.policy_codec import encode_lease_request
from rushmux.fleet import policy, raft
from rushmux.gateway import commands, replies
from rushmux.gateway.config import parse_config
from rushmux.gateway.errors import InvalidCommandError
from rushmux.nodewire import FrameReader, frame, messages
from rushmux.planner import raft_codec
from rushmux.resp import CommandReader, ReplyReader, encode_command, encode_error
from rushmux.sftp import packets as sftp
from rushmux.standins.platform import configuration
from rushmux.wirehost.host import Host

WIRE = Path(__file__).with_name("data") / "wire"
NODEWIRE = {
    name: bytes.fromhex(text) for name, text in json.loads((WIRE / "nodewire.json").read_text()).items()
}
SFTP = json.loads((WIRE / "sftp.json").read_text())
RESP2 = json.loads((WIRE / "resp2.json").read_text())

ACTIVE = policy.Policy(2, '{"a":2}', (("caribe", 20.0, 40.0), ("heredia", 0, 0)))
STAGED = policy.Policy(3, '{"a":3}', (("caribe", 30.0, 60.0), ("heredia", 10.0, 20.0)))
GRANT = policy.LeaseGrant("edge0", 5, 7, 44, ACTIVE, STAGED)
RAFT = {
    "ask": raft.RequestVote("a/1", "b/2", 7, 40, 6, True),
    "vote": raft.RequestVoteResponse("b/2", "a/1", 7, False, True),
    "append": raft.AppendEntries(
        "a/1",
        "b/2",
        7,
        40,
        6,
        (
            raft.Entry(7, raft.EntryKind.NOOP, b""),
            raft.Entry(7, raft.EntryKind.COMMAND, b'{"kind":"x"}'),
            raft.Entry(7, raft.EntryKind.CONFIGURATION, ("a/1", "c/3")),
        ),
        39,
        12,
    ),
    "install": raft.InstallSnapshot("a/1", "b/2", 7, raft.Snapshot(30, 5, ("a/1", "b/2"), b"state"), 13),
    "appended": raft.AppendEntriesResponse("b/2", "a/1", 7, False, 38, 12),
}
TIMEOUT_MS = 250  # the timeout in the recorded commands to nodes


def decoded(data):
    (message,) = FrameReader().feed(data)
    return message


@pytest.mark.parametrize("name", sorted(NODEWIRE))
def test_a_frame_is_decoded_and_encoded_to_the_same_bytes(name):
    assert frame(decoded(NODEWIRE[name])) == NODEWIRE[name]


def test_a_frame_of_every_message_is_recorded():
    kinds = {decoded(data).WhichOneof("body") for data in NODEWIRE.values()}
    assert kinds == {field.name for field in messages.Message.DESCRIPTOR.fields}


@pytest.mark.parametrize("kind", sorted(RAFT))
def test_a_raft_message_has_the_recorded_encoding(kind):
    data = NODEWIRE[f"raft-{kind}"]
    assert frame(messages.Message(word=raft_codec.encode(RAFT[kind]))) == data
    assert raft_codec.decode(decoded(data).word) == RAFT[kind]


@pytest.mark.parametrize("name, known", [("whole", ()), ("known", (2, 3))])
def test_a_policy_grant_has_the_recorded_encoding(name, known):
    made = messages.Message(policy_grant=raft_codec.encode_grant(GRANT, known))
    assert frame(made) == NODEWIRE[f"policy-grant-{name}"]


def test_a_lease_request_has_the_recorded_encoding():
    member = policy.PolicyMember("edge0", ACTIVE, STAGED, lambda proposed: None, lambda active, staged: None)
    ask = encode_lease_request(member.lease_request(3.0))
    assert frame(messages.Message(policy_ask=ask)) == NODEWIRE["policy-ask"]


def fields_of(values):
    """Converts a recorded packet's fields back to tuples and bytes."""
    if isinstance(values, list):
        return tuple(map(fields_of, values))
    return bytes.fromhex(values["hex"]) if isinstance(values, dict) else values


@pytest.mark.parametrize("row", SFTP, ids=lambda row: row["packet"])
def test_an_sftp_packet_is_decoded_and_encoded_to_the_same_bytes(row):
    data = bytes.fromhex(row["bytes"])
    (body,) = sftp.PacketSplitter().feed(data)
    packet = sftp.decode(body)
    assert type(packet).__name__ == row["packet"] and packet == fields_of(row["fields"])
    assert sftp.encode(packet) == data


def test_an_sftp_packet_of_every_type_is_recorded():
    assert {row["packet"] for row in SFTP} == {kind.__name__ for kind in sftp.LAYOUTS}


@pytest.mark.parametrize("row", RESP2["commands"])
def test_a_clients_command_becomes_the_same_command_to_a_node_or_the_same_error(row):
    config = parse_config(json.dumps(configuration(1, [], 7000)).encode())
    reader = CommandReader()
    reader.receive_data(bytes.fromhex(row["client"]))
    try:
        answer = {
            "node": encode_command(
                commands.parse_command(reader.next_command(), config).build_arguments(TIMEOUT_MS)
            ).hex()
        }
    except InvalidCommandError as fault:
        answer = {"error": encode_error(f"ERR {fault}").hex()}
    assert {"client": row["client"], **answer} == row


@pytest.mark.parametrize("row", RESP2["replies"])
def test_a_nodes_reply_is_interpreted_as_recorded(row):
    reader = ReplyReader()
    reader.receive_data(bytes.fromhex(row["node"]))
    reply = reader.next_reply()
    result, found, fleet_use, from_others = replies.interpret(reply)
    assert (result, fleet_use, from_others) == (row["result"], row["fleet_use"], row["from_others"])
    assert found == (None if row["value"] is None else bytes.fromhex(row["value"]))
    assert replies.is_reusable(result, reply) == row["reusable"]


@pytest.mark.parametrize("path", sorted(WIRE.glob("simulator-*.jsonl")), ids=lambda path: path.stem)
def test_the_simulators_lines_are_answered_byte_for_byte(path):
    host = Host()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        asked, answered = json.loads(line)
        sink = io.BytesIO()
        host.serve([asked.encode()], sink)
        assert sink.getvalue().decode() == answered + "\n", f"{path.name}, line {number}"
