"""RESP2 on the wire: bytes in, values out, and back.  No I/O."""

from rushmux.resp.codec import Commands, Malformed, Replies, bulk, command, error

__all__ = ["Commands", "Malformed", "Replies", "bulk", "command", "error"]
