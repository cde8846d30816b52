"""Waits for conditions that are observed from outside."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL = 0.005
"""Seconds between two checks of a condition."""


async def wait_until(condition: Callable[[], object], within: float = 2.0) -> None:
    """Waits until a condition holds; raises TimeoutError after `within` seconds."""
    async with asyncio.timeout(within):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL)
