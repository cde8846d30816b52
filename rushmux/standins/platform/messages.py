"""Typical commands of clients and a node's success reply."""

from rushmux.resp import encode_bulk

NULL = b"$-1\r\n"
BLOCK_NUMBER_OFFSET = 4096
"""Block number of a command minus its operation's number."""


def success_reply(value: bytes = b"data", used: bytes = NULL, load: bytes = NULL) -> bytes:
    """Returns a node's reply with a value; `used` and `load` are encoded elements."""
    return b"*3\r\n" + encode_bulk(value) + used + load


def option_of(arguments: list[bytes], name: str) -> str:
    """Returns the value of a command's option."""
    options = dict(option.split(b"=") for option in arguments[3].split(b","))
    return options[name.encode()].decode()


def read_command(
    number: int,
    *,
    cell: int = 0,
    time_left: int = 900,
    request_class: str = "read",
    plan: str = "base",
    volume: int = 1,
    units: float = 1,
    hosts: int = 1,
) -> list[bytes]:
    """Returns the arguments of a read; `time_left` in milliseconds."""
    size = f"volume={volume:016x},units={units},shard={cell},hosts={hosts}"
    options = f"c={request_class},t={plan},d={time_left},{size}"
    return [b"BLK.READ", b"%016x" % (number + BLOCK_NUMBER_OFFSET), b"%016x" % number, options.encode()]


def write_command(
    number: int, *, cell: int = 0, time_left: int = 900, data: bytes = b"body", is_keyed: bool = True
) -> list[bytes]:
    """Returns the arguments of a write; `time_left` in milliseconds.

    A class rejects a key unless it is keyed.
    """
    key = f",k={number:016x}" if is_keyed else ""
    options = f"c=write,t=base,d={time_left}{key},volume={1:016x},units=1,shard={cell},hosts=1"
    return [
        b"BLK.WRITE",
        b"%016x" % (number + BLOCK_NUMBER_OFFSET),
        b"%016x" % number,
        options.encode(),
        data,
    ]
