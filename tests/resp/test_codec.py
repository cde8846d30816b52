"""The RESP2 codec: parsing of input split at any byte, and limits of buffers."""

import random

import pytest
from hypothesis import given, strategies

from rushmux.resp import CommandReader, ProtocolError, ReplyReader, encode_bulk, encode_command, encode_error
from rushmux.resp.command_reader import MAX_COMMAND_BYTES, MAX_VALUE_BYTES

REPLIES = (
    b"+PONG\r\n-BUSY 20\r\n:7\r\n$-1\r\n*-1\r\n"
    + encode_bulk(b"a\r\nb")
    + b"*3\r\n"
    + encode_bulk(b"value")
    + b"$-1\r\n"
    + encode_bulk(b"inflight=7")
    + b"*0\r\n-ERR failed used=3\r\n"
)
EXPECTED = [
    ("+", b"PONG"),
    ("-", b"BUSY 20"),
    (":", b"7"),
    ("$", None),
    ("*", None),
    ("$", b"a\r\nb"),
    ("*", [("$", b"value"), ("$", None), ("$", b"inflight=7")]),
    ("*", []),
    ("-", b"ERR failed used=3"),
]


def next_of(reader):
    """Returns the next command or reply, depending on the reader."""
    return reader.next_command() if isinstance(reader, CommandReader) else reader.next_reply()


def values(reader, pieces):
    found = []
    for piece in pieces:
        reader.receive_data(piece)
        while (value := next_of(reader)) is not None:
            found.append(value)
    return found


@pytest.mark.parametrize("cut", range(len(REPLIES)))
def test_replies_split_in_two_at_any_byte_are_read(cut):
    assert values(ReplyReader(), [REPLIES[:cut], REPLIES[cut:]]) == EXPECTED


def test_replies_received_byte_by_byte_are_read():
    assert values(ReplyReader(), [REPLIES[at : at + 1] for at in range(len(REPLIES))]) == EXPECTED


@given(
    strategies.lists(strategies.lists(strategies.binary(max_size=80), min_size=1, max_size=16), max_size=8),
    strategies.randoms(use_true_random=False),
)
def test_encoded_commands_are_read_back(commands, rng):
    data, pieces = b"".join(map(encode_command, commands)), []
    while data:
        size = rng.randint(1, 40)
        pieces.append(data[:size])
        data = data[size:]
    reader = CommandReader()
    assert values(reader, pieces) == commands and not reader.has_partial_command()


@given(strategies.binary(max_size=400))
def test_random_bytes_are_a_protocol_error_or_stay_within_the_buffer_limit(noise):
    for reader in (CommandReader(), ReplyReader()):
        try:
            values(reader, [noise[at : at + 7] for at in range(0, len(noise), 7)])
        except ProtocolError:
            continue
        assert reader.unread_bytes() <= MAX_COMMAND_BYTES


@pytest.mark.parametrize(
    "head",
    [
        b"*2\r\n$65537\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$-1\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*17\r\n",
        b"*1\r\n$1x\r\n",
        b"*99999999999999999\r\n",
        b"PING\r\n",
        b"*1\r\n$+4\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n+",
        b"*1\r\n$4\r\nPING  ",
        b"\0",
    ],
)
def test_a_malformed_command_is_a_protocol_error_at_its_header(head):
    reader = CommandReader()
    reader.receive_data(head)
    with pytest.raises(ProtocolError):
        while reader.next_command() is not None:
            pass


def test_a_command_that_announces_too_many_bytes_is_a_protocol_error_before_they_arrive():
    reader = CommandReader()
    reader.receive_data(b"*3\r\n" + encode_bulk(b"x" * MAX_VALUE_BYTES) + b"$65536\r\n")
    with pytest.raises(ProtocolError):
        reader.next_command()


@pytest.mark.parametrize(
    "data",
    [
        b"$3000000000\r\n",
        b"$1048577\r\n",
        b"*9\r\n",
        b"*2\r\n*1\r\n",
        b"?\r\n",
        b"$2\r\nabc\r\n",
        b"$-2\r\n",
        b"+" + b"x" * 600,
        b"\r\n",
        b"+a\nb\r\n",
    ],
)
def test_a_malformed_reply_is_a_protocol_error(data):
    reader = ReplyReader()
    reader.receive_data(data)
    with pytest.raises(ProtocolError):
        while reader.next_reply() is not None:
            pass


def test_a_large_value_of_a_node_is_read_completely():
    """Nodes have sent values of 400,000 bytes, although the protocol says 64 KiB.

    When these were rejected as malformed, each operation was attempted three times.
    """
    value = b"v" * 400_000
    data = b"*3\r\n" + encode_bulk(value) + b"$-1\r\n$-1\r\n"
    assert values(ReplyReader(), [data[at : at + 65_536] for at in range(0, len(data), 65_536)]) == [
        ("*", [("$", value), ("$", None), ("$", None)])
    ]


def test_commands_before_a_malformed_one_are_returned_first():
    reader = CommandReader()
    reader.receive_data(encode_command([b"PING"]) + b"noise")
    assert reader.next_command() == [b"PING"]
    with pytest.raises(ProtocolError):
        reader.next_command()


def test_reading_is_linear_however_the_bytes_are_split():
    """The bytes moved within the buffer stay proportional to the input."""
    rng, data = random.Random(1), encode_command([b"BLK.WRITE", b"x" * MAX_VALUE_BYTES]) * 20
    reader, at, found = CommandReader(), 0, 0
    while at < len(data):
        size = rng.randint(1, 300)
        reader.receive_data(data[at : at + size])
        at += size
        while reader.next_command() is not None:
            found += 1
        assert reader.unread_bytes() <= MAX_COMMAND_BYTES
    assert found == 20


def test_an_error_line_stays_one_line():
    assert encode_error("ERR a\r\nb") == b"-ERR a  b\r\n"
