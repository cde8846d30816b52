"""Scheduling of callbacks relative to socket polling."""

import asyncio
from collections.abc import Callable


def call_after_polling(loop: asyncio.AbstractEventLoop, callback: Callable, *arguments) -> None:
    """Calls `callback` after all data that has already arrived on the sockets was read.

    After the process was suspended, the loop may run expired timers before it polls the sockets. A timer
    that closes silent clients must run after the poll, or it misses the data they sent.
    """
    loop.call_soon(loop.call_soon, callback, *arguments)  # the loop polls the sockets between the two calls
