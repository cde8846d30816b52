"""What a storage node's reply means to the scheduler.  No I/O."""

import re

from rushmux.resp import ReplyKind
from rushmux.scheduling.driver import AttemptReply
from rushmux.scheduling.interface import AttemptResult

USAGE = re.compile(rb"used=([0-9]{1,7})(?:,cost=([0-9]{1,7}(?:\.[0-9]{1,6})?))?")
"""Percent of the plan's rate that the fleet used, and units served through other gateways."""
NO_USAGE = 0, 0.0
SUCCESS_ELEMENTS = 3
"""Elements of the array that answers a served command: value, usage, load."""
BUSY = b"BUSY"
FAILED = b"ERR failed"
REJECTED_REPLY = AttemptReply(AttemptResult.REJECTED)
FAILED_REPLY = AttemptReply(AttemptResult.FAILED)


def parse_usage(text: bytes | None) -> tuple[int, float]:
    """Returns fleet usage (one more than on the wire; 0: not told) and units served through others."""
    found = USAGE.fullmatch(text) if isinstance(text, bytes) else None
    if found is None:  # a figure that can't be read counts as not told
        return NO_USAGE
    return int(found[1]) + 1, float(found[2] or 0)


def is_reusable(result: AttemptResult, kind: ReplyKind, value: bytes | list | None) -> bool:
    """Returns whether the connection that a reply came on may be used again: not after a malformed one."""
    return result in (AttemptResult.SUCCEEDED, AttemptResult.REJECTED) or (
        kind is ReplyKind.ERROR and value.startswith(FAILED)
    )


def interpret(kind: ReplyKind, value: bytes | list | None) -> AttemptReply:
    """Returns what a complete reply of a node says about the attempt it answers."""
    if kind is ReplyKind.ARRAY and value and len(value) == SUCCESS_ELEMENTS and isinstance(value[0], bytes):
        return AttemptReply(AttemptResult.SUCCEEDED, value[0], *parse_usage(value[1]))
    if kind is ReplyKind.ERROR and (value == BUSY or value.startswith(BUSY + b" ")):
        return REJECTED_REPLY
    if kind is ReplyKind.ERROR and value.startswith(FAILED):
        for word in value.split(b" ")[2:]:
            if word.startswith(b"used="):
                return AttemptReply(AttemptResult.FAILED, None, *parse_usage(word))
    return FAILED_REPLY  # possibly malformed: the command may have run
