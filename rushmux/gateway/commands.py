"""Validates clients' commands completely before they reach the scheduler or a node, without I/O.

Nodes reject invalid commands, and such a rejection costs more than the one request.
"""

import re
from typing import NamedTuple

from rushmux.gateway.config import GatewayConfig
from rushmux.gateway.errors import InvalidCommandError
from rushmux.gateway.memory_limits import OPERATION_BYTES
from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.scheduling.interface import Idempotency

READ, WRITE = b"BLK.READ", b"BLK.WRITE"
READ_ARGUMENTS = 4
"""Name, block, operation id and options."""
WRITE_ARGUMENTS = 5
"""The arguments of a read, and the data."""
HEX_ID = re.compile(rb"[0-9a-f]{16}")
OPTIONS = re.compile(
    rb"c=([^,=]{1,64}),t=([^,=]{1,64}),d=([0-9]{1,7})(?:,k=([0-9a-f]{16}))?(,r=1)?"
    rb",volume=([0-9a-f]{16}),units=([0-9]{1,4}(?:\.[0-9]{1,6})?)"
    rb",shard=(-1|[0-9]{1,5}),hosts=([0-9]{1,4})"
)
TIME_LEFT_GROUP = 3
"""Index of the group of OPTIONS that holds the time left."""
MS_PER_SECOND = 1000


class Command(NamedTuple):
    """A validated read or write."""

    op_id: str
    request_class: str
    plan: str
    volume: str
    key: str
    units: float
    cell: int
    gateway_count: int
    is_retry: bool
    time_left: float
    """Seconds for which the client waits for the reply."""
    name: bytes
    block: bytes
    options_before_time: bytes
    """The options before the time left, which each attempt replaces."""
    options_after_time: bytes
    data: tuple[bytes, ...]
    """The data of a write; empty for a read."""

    def held_bytes(self) -> int:
        """Returns the memory, in bytes, that the operation takes while it is in flight."""
        return OPERATION_BYTES + sum(map(len, self.data))

    def build_arguments(self, milliseconds: int) -> list[bytes]:
        """Returns the arguments to send to a node, with `milliseconds` as the time left."""
        options = b"%b%d%b" % (self.options_before_time, milliseconds, self.options_after_time)
        return [self.name, self.block, self.op_id.encode(), options, *self.data]


def parse_command(arguments: list[bytes], config: GatewayConfig) -> Command:
    """Parses and validates the arguments of a read or write; raises InvalidCommandError."""
    name = arguments[0].upper()
    if len(arguments) != (WRITE_ARGUMENTS if name == WRITE else READ_ARGUMENTS):
        raise InvalidCommandError(f"{len(arguments)} words", len(arguments))
    _, block, op_id, options = arguments[:READ_ARGUMENTS]
    if not HEX_ID.fullmatch(block) or not HEX_ID.fullmatch(op_id):
        raise InvalidCommandError("the piece and the id are 16 hex digits", (block, op_id))
    match = OPTIONS.fullmatch(options)
    if not match:
        raise InvalidCommandError("the list of names and values can't be read", options)
    request_class, plan, time_left, key, retry_mark, volume, units, cell, gateway_count = match.groups()
    milliseconds = int(time_left)
    command = Command(
        op_id.decode(),
        request_class.decode("utf-8", "replace"),
        plan.decode("utf-8", "replace"),
        volume.decode(),
        block.decode(),
        float(units),
        int(cell),
        int(gateway_count),
        bool(retry_mark),
        milliseconds / MS_PER_SECOND,
        name,
        block,
        options[: match.start(TIME_LEFT_GROUP)],
        options[match.end(TIME_LEFT_GROUP) :],
        tuple(arguments[READ_ARGUMENTS:]),
    )
    _validate_class(command, key is not None, config)
    _validate_figures(command, milliseconds, config)
    return command


def _validate_class(command: Command, has_key: bool, config: GatewayConfig) -> None:
    settings = config.settings
    if command.request_class not in settings.request_classes or command.plan not in settings.plans:
        raise InvalidCommandError("no such class or plan", (command.request_class, command.plan))
    if config.is_write[command.request_class] != (command.name == WRITE):
        raise InvalidCommandError("the class does not go with the command", command.request_class)
    request_class = settings.request_classes[command.request_class]
    if has_key != (request_class.idempotency == Idempotency.KEYED):
        raise InvalidCommandError("a key exactly where the class has one", command.request_class)
    if command.is_retry and not config.allows_retry_mark:
        raise InvalidCommandError("retries are not marked here")


def _validate_figures(command: Command, milliseconds: int, config: GatewayConfig) -> None:
    settings = config.settings
    time_limit = settings.request_classes[command.request_class].deadline + settings.round_interval
    if not 0 < milliseconds * TICKS_PER_SECOND // MS_PER_SECOND <= time_limit:
        raise InvalidCommandError(f"a time of {milliseconds} ms", milliseconds)
    if not 0 < command.units <= settings.max_units:
        raise InvalidCommandError("a figure out of range", command.units)
    if not command.cell < config.shard_count:
        raise InvalidCommandError("a figure out of range", command.cell)
    if not 0 < command.gateway_count <= settings.gateway_count:
        raise InvalidCommandError("a figure out of range", command.gateway_count)
