"""A codec of RESP2, the protocol of clients and nodes: bytes in, values out, and back.  No I/O.

A reader takes bytes with `receive_data` and returns complete values by `next_command` or `next_reply`, None
while there is none.  It keeps no byte past its bounds; ProtocolError says that the rest can't be read.

Published source: the RESP protocol specification of Redis, version 2.
"""

from rushmux.resp.command_reader import CommandReader
from rushmux.resp.encoder import encode_bulk, encode_command, encode_error
from rushmux.resp.errors import InvalidLengthError, InvalidSyntaxError, LimitExceededError, ProtocolError
from rushmux.resp.reply_reader import ReplyKind, ReplyReader

__all__ = [
    "CommandReader",
    "InvalidLengthError",
    "InvalidSyntaxError",
    "LimitExceededError",
    "ProtocolError",
    "ReplyKind",
    "ReplyReader",
    "encode_bulk",
    "encode_command",
    "encode_error",
]
