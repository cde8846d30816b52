"""Translates a storage node's reply into an attempt's result.  No I/O."""

import re

from rushmux.resp import ReplyKind
from rushmux.scheduling.driver import AttemptReply
from rushmux.scheduling.interface import AttemptResult

USAGE_PATTERN = re.compile(rb"used=([0-9]{1,7})(?:,cost=([0-9]{1,7}(?:\.[0-9]{1,6})?))?")
"""Percent of the plan's rate that the fleet used, and units served through other gateways."""
NO_USAGE = 0, 0.0
SUCCESS_ELEMENTS = 3
"""Elements of the reply to a served command: value, usage, load."""
BUSY = b"BUSY"
FAILED = b"ERR failed"
REJECTED_REPLY = AttemptReply(AttemptResult.REJECTED)
FAILED_REPLY = AttemptReply(AttemptResult.FAILED)


def parse_usage(text: bytes | None) -> tuple[int, float]:
    """Returns the fleet's usage plus one (0 if missing) and the units served through other gateways."""
    found = USAGE_PATTERN.fullmatch(text) if isinstance(text, bytes) else None
    if found is None:  # an unreadable figure counts as missing
        return NO_USAGE
    return int(found[1]) + 1, float(found[2] or 0)


def is_reusable(result: AttemptResult, kind: ReplyKind, value: bytes | list | None) -> bool:
    """Returns whether the connection may be reused after this reply; never after a malformed one."""
    return result in (AttemptResult.SUCCEEDED, AttemptResult.REJECTED) or (
        kind is ReplyKind.ERROR and value.startswith(FAILED)
    )


def interpret(kind: ReplyKind, value: bytes | list | None) -> AttemptReply:
    """Returns the attempt's result that a complete reply stands for."""
    if kind is ReplyKind.ARRAY and value and len(value) == SUCCESS_ELEMENTS and isinstance(value[0], bytes):
        return AttemptReply(AttemptResult.SUCCEEDED, value[0], *parse_usage(value[1]))
    if kind is ReplyKind.ERROR and (value == BUSY or value.startswith(BUSY + b" ")):
        return REJECTED_REPLY
    if kind is ReplyKind.ERROR and value.startswith(FAILED):
        for word in value.split(b" ")[2:]:
            if word.startswith(b"used="):
                return AttemptReply(AttemptResult.FAILED, None, *parse_usage(word))
    return FAILED_REPLY  # an unknown or malformed reply: the command may have run
