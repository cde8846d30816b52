"""Validation of commands, the arguments forwarded to nodes, interpretation of nodes' replies."""

import json

import pytest

from rushmux.gateway import commands, replies
from rushmux.gateway.config import parse_config
from rushmux.gateway.errors import ConfigError, InvalidCommandError
from rushmux.resp import ReplyReader
from rushmux.scheduling.interface import AttemptResult
from rushmux.settings.platform import load_positions
from rushmux.standins.platform import configuration, read_command, settings, success_reply, write_command

CONFIG = parse_config(json.dumps(configuration(1, [])).encode())


def test_a_read_is_parsed_and_forwarded_with_the_timeout_of_its_attempt():
    arguments = read_command(7, cell=-1, time_left=480, units=2)
    command = commands.parse_command(arguments, CONFIG)
    assert (
        command.op_id,
        command.request_class,
        command.plan,
        command.units,
        command.cell,
        command.gateway_count,
        command.time_left,
    ) == (
        f"{7:016x}",
        "read",
        "base",
        2.0,
        -1,
        1,
        0.48,
    )
    sent = command.build_arguments(120)
    assert (
        sent[:3] == arguments[:3] and sent[3] == arguments[3].replace(b"d=480", b"d=120") and len(sent) == 4
    )


def test_a_write_is_forwarded_with_its_key_and_data():
    arguments = write_command(9, data=b"\r\n\0")
    sent = commands.parse_command(arguments, CONFIG).build_arguments(900)
    assert sent == arguments


def with_options_changed(arguments, old, new):
    return [*arguments[:3], arguments[3].replace(old, new), *arguments[4:]]


READ, WRITE = read_command(1), write_command(1)


@pytest.mark.parametrize(
    "arguments",
    [
        READ[:3],
        [*READ, b"body"],
        WRITE[:4],
        [READ[0], b"xyz", *READ[2:]],
        [*READ[:2], b"", READ[3]],
        [*READ[:2], b"1" * 17, READ[3]],
        [*READ[:2], b"A" * 16, READ[3]],
        with_options_changed(READ, b"c=read", b"c=none"),
        with_options_changed(READ, b"t=base", b"t=none"),
        with_options_changed(READ, b"d=900", b"d=soon"),
        with_options_changed(READ, b"d=900", b"d=-1"),
        with_options_changed(READ, b"d=900", b"d=0"),
        with_options_changed(READ, b"d=900", b"d=9000"),
        with_options_changed(READ, b"d=900", b"d=900.5"),
        with_options_changed(READ, b"units=1", b"units=0"),
        with_options_changed(READ, b"units=1", b"units=9"),
        with_options_changed(READ, b"units=1", b"units=nan"),
        with_options_changed(READ, b"shard=0", b"shard=4"),
        with_options_changed(READ, b"shard=0", b"shard=-2"),
        with_options_changed(READ, b"hosts=1", b"hosts=0"),
        with_options_changed(READ, b"hosts=1", b"hosts=1,x=1"),
        with_options_changed(READ, b"d=900", b"d=900,r=1"),
        with_options_changed(READ, b"d=900", b"d=900,k=0000000000000001"),
        with_options_changed(WRITE, b",k=0000000000000001", b""),
        with_options_changed(READ, b"c=read", b"c=write"),
        with_options_changed(WRITE, b"c=write", b"c=read"),
        [*READ[:3], b""],
        with_options_changed(READ, b",", b" "),
        [*READ[:3], READ[3] + b"\n"],
        [*READ[:3], b"c=\xff" + READ[3][6:]],
    ],
)
def test_an_invalid_command_is_rejected(arguments):
    with pytest.raises(InvalidCommandError):
        commands.parse_command(arguments, CONFIG)


def interpret_reply(data):
    reader = ReplyReader()
    reader.receive_data(data)
    return replies.interpret(reader.next_reply())


NONE = (0, 0.0)


@pytest.mark.parametrize(
    "data, expected",
    [
        (success_reply(), (AttemptResult.SUCCEEDED, b"data", *NONE)),
        (success_reply(used=b"$7\r\nused=37\r\n"), (AttemptResult.SUCCEEDED, b"data", 38, 0.0)),
        (success_reply(used=b"$14\r\nused=37,cost=4\r\n"), (AttemptResult.SUCCEEDED, b"data", 38, 4.0)),
        (success_reply(used=b"$6\r\nused=0\r\n"), (AttemptResult.SUCCEEDED, b"data", 1, 0.0)),
        (
            success_reply(used=b"$7\r\nused=x7\r\n", load=b"$5\r\n\0\1\2\3\4\r\n"),
            (AttemptResult.SUCCEEDED, b"data", *NONE),
        ),
        (success_reply(used=b":9\r\n", load=b"$2\r\n==\r\n"), (AttemptResult.SUCCEEDED, b"data", *NONE)),
        (b"-BUSY\r\n", (AttemptResult.REJECTED, None, *NONE)),
        (b"-BUSY 20\r\n", (AttemptResult.REJECTED, None, *NONE)),
        (b"-ERR failed\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"-ERR failed used=12 inflight=3\r\n", (AttemptResult.FAILED, None, 13, 0.0)),
        (b"-ERR failed inflight=3\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"-BUSYNESS\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"$4\r\ndata\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"*1\r\n$4\r\ndata\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"*0\r\n", (AttemptResult.FAILED, None, *NONE)),
        # A value stands in a bulk string.
        (b"*3\r\n+data\r\n$-1\r\n$-1\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"*3\r\n-ERR failed\r\n$-1\r\n$-1\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"*3\r\n-BUSY\r\n$-1\r\n$-1\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"*3\r\n:7\r\n$-1\r\n$-1\r\n", (AttemptResult.FAILED, None, *NONE)),
        (success_reply(used=b"+used=37\r\n"), (AttemptResult.SUCCEEDED, b"data", *NONE)),
        (b"*-1\r\n", (AttemptResult.FAILED, None, *NONE)),
        (b"+OK\r\n", (AttemptResult.FAILED, None, *NONE)),
    ],
)
def test_a_nodes_reply_gives_result_and_usage(data, expected):
    assert interpret_reply(data) == expected


def test_positions_of_the_load_columns_in_the_settings():
    """The settings call `outstanding` what replies call `inflight`; the scheduler reads neither."""
    assert load_positions(settings()) == [None, None]
    assert load_positions({"Report": {"How": "answers", "Columns": ["recent_ms", "backlog"]}}) == [1, 0]


@pytest.mark.parametrize("wrong", [b"", b"{", b"[]", b'{"name":1}', b"\xff"])
def test_an_unusable_file_is_a_config_error(wrong):
    with pytest.raises(ConfigError):
        parse_config(wrong)


def test_a_file_truncated_anywhere_is_a_config_error():
    complete = json.dumps(configuration(1, [])).encode()
    for cut in range(0, len(complete), 7):
        with pytest.raises(ConfigError):
            parse_config(complete[:cut])
