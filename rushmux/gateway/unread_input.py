"""Whether a connection has input that the process has not read."""

from __future__ import annotations

import asyncio
import select


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Returns whether the system holds bytes, an end of stream or a reset that were not read."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
