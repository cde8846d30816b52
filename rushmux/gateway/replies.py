"""Translates a storage node's reply into an attempt's result.  No I/O."""

import re

from rushmux.resp import Reply, ReplyKind
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


def parse_usage(text: bytes) -> tuple[int, float]:
    """Returns the fleet's usage plus one (0 if missing) and the units served through other gateways."""
    found = USAGE_PATTERN.fullmatch(text)
    if found is None:  # an unreadable figure counts as missing
        return NO_USAGE
    return int(found[1]) + 1, float(found[2] or 0)


def is_reusable(result: AttemptResult, reply: Reply) -> bool:
    """Returns whether the connection may be reused after this reply; never after a malformed one."""
    return result in (AttemptResult.SUCCEEDED, AttemptResult.REJECTED) or (
        reply.kind is ReplyKind.ERROR and reply.value.startswith(FAILED)
    )


def interpret(reply: Reply) -> AttemptReply:
    """Returns the attempt's result that a complete reply stands for."""
    if reply.kind is ReplyKind.ARRAY:
        return _interpret_array(reply.value)
    if reply.kind is ReplyKind.ERROR:
        return _interpret_error(reply.value)
    return FAILED_REPLY  # an unknown or malformed reply: the command may have run


def _interpret_array(elements: list[Reply] | None) -> AttemptReply:
    if elements is None or len(elements) != SUCCESS_ELEMENTS:
        return FAILED_REPLY
    value, usage, _ = elements
    # Only a bulk string states its length: noise over its header can make a line of any other kind.
    if value.kind is not ReplyKind.BULK or value.value is None:
        return FAILED_REPLY
    figures = (
        NO_USAGE if usage.value is None or usage.kind is not ReplyKind.BULK else parse_usage(usage.value)
    )
    return AttemptReply(AttemptResult.SUCCEEDED, value.value, *figures)


def _interpret_error(text: bytes) -> AttemptReply:
    if text == BUSY or text.startswith(BUSY + b" "):
        return REJECTED_REPLY
    if text.startswith(FAILED):
        for word in text.split(b" ")[2:]:
            if word.startswith(b"used="):
                return AttemptReply(AttemptResult.FAILED, None, *parse_usage(word))
    return FAILED_REPLY
