"""Order of calls within the event loop."""

import asyncio
from collections.abc import Callable


def call_after_polling(loop: asyncio.AbstractEventLoop, callback: Callable, *arguments) -> None:
    """Calls `callback` once everything that is in a socket by now has been read.

    When the process has stood still, the loop runs its timers before it looks at any socket; a timer that
    judges clients by their silence must wait for that look.
    """
    loop.call_soon(loop.call_soon, callback, *arguments)  # the loop polls the sockets between the two
