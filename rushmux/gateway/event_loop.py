"""Scheduling of callbacks relative to socket polling."""

import asyncio
from collections.abc import Callable


def call_after_polling(loop: asyncio.AbstractEventLoop, callback: Callable, *arguments) -> None:
    """Calls `callback` after all data that has already arrived was read.

    After a suspension of the process, the loop may run expired timers before it polls the sockets. A timer
    that closes silent clients must wait for the poll.
    """
    loop.call_soon(loop.call_soon, callback, *arguments)  # the loop polls the sockets between the calls
