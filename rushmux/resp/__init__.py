"""Codec of RESP2, the protocol spoken with clients and nodes, without I/O.

Feed received bytes to a reader with `receive_data`; `next_command` or `next_reply` returns the next complete
value, or None until more bytes arrive. Buffers are bounded. After a ProtocolError nothing more can be read.

Specification: the RESP protocol specification of Redis, version 2.
"""

from rushmux.resp.command_reader import CommandReader
from rushmux.resp.encoder import encode_bulk, encode_command, encode_error
from rushmux.resp.errors import InvalidLengthError, InvalidSyntaxError, LimitExceededError, ProtocolError
from rushmux.resp.reply_reader import Reply, ReplyKind, ReplyReader

__all__ = [
    "CommandReader",
    "InvalidLengthError",
    "InvalidSyntaxError",
    "LimitExceededError",
    "ProtocolError",
    "Reply",
    "ReplyKind",
    "ReplyReader",
    "encode_bulk",
    "encode_command",
    "encode_error",
]
