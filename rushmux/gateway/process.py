"""Lifecycle of the gateway process: start, reload on SIGHUP, graceful shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time

from rushmux.gateway.bounded_log import BoundedLogger
from rushmux.gateway.config import load_config
from rushmux.gateway.errors import ConfigError
from rushmux.gateway.server import GatewayServer
from rushmux.scheduling.driver import TICKS_PER_SECOND

ACCEPT_TIME = 0.5
"""Seconds after SIGTERM for which connections are accepted; the process does not exit earlier."""
MAX_DRAIN_TIME = 3.0
"""Seconds that the platform waits at most for the longest deadline of a request class."""
KILL_MARGIN = 0.7
"""Seconds from the end of that wait until SIGKILL may come."""
BEGIN_SHUTDOWN_BEFORE_KILL = 0.8
"""Seconds before SIGKILL from which connections are closed once they are quiet.

Operations that arrive just before then have the usual time of a reply until they are aborted.
"""
ABORT_BEFORE_KILL = 0.4
"""Seconds before SIGKILL at which all operations are answered and the listener closes."""
FINISH_BEFORE_KILL = 0.15
"""Seconds before SIGKILL at which reading stops, to leave time for sending the last replies."""
DRAIN_CHECK_INTERVAL = 0.05
"""Seconds between checks whether all connections have ended."""
EXIT_OK = 0
EXIT_STARTUP_FAILED = 2
"""The configuration is invalid, or the address can't be bound."""


class SignalEvents:
    """Exposes the process's signals as asyncio events.

    Attributes:
        stop_requested_at: Event loop time of the first SIGTERM or SIGINT.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        self.stop_requested_at: float | None = None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
            # The loop's handler may run late, behind a long callback; shutdown is timed from the signal.
            signal.signal(number, self._record_stop)
            signal.siginterrupt(number, False)  # as `add_signal_handler` does: system calls are restarted
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)

    def _record_stop(self, *_) -> None:
        if self.stop_requested_at is None:
            self.stop_requested_at = self.loop.time()


async def serve(config_path: str) -> int:
    """Runs a gateway until SIGTERM or SIGINT and returns the process's exit code."""
    loop = asyncio.get_running_loop()
    signals = SignalEvents(loop)
    log = BoundedLogger(loop.time, os.environ.get("NODE_NAME", "gateway"))
    # The loop's default handler would print exceptions of callbacks without the log's rate limit.
    loop.set_exception_handler(
        lambda _, context: log.error(
            "event_loop.fault", what=context["message"], fault=repr(context.get("exception"))
        )
    )
    try:
        server = GatewayServer(load_config(config_path), time.time() - loop.time(), loop, log)
    except ConfigError as error:
        log.error("config.rejected", file=config_path or "(NODE_CONFIG is not set)", why=error)
        return EXIT_STARTUP_FAILED
    exit_code = await _open(server, signals, log)
    if exit_code is not None:
        return exit_code
    gc.collect()
    gc.freeze()  # excludes the permanent objects from later collections
    reloads = loop.create_task(_reload_on_signal(server, signals, config_path, log))
    await signals.stop.wait()
    await _shut_down(server, signals.stop_requested_at, log)
    reloads.cancel()
    server.close()
    log.info(
        "gateway.stopped", taken=server.listener.stats.accepted_operations, open=server.unanswered_count()
    )
    return EXIT_OK


async def _open(server: GatewayServer, signals: SignalEvents, log: BoundedLogger) -> int | None:
    # Returns the exit code if the process has to end before it serves, else None.
    opening = server.loop.create_task(server.open())
    stopping = server.loop.create_task(signals.stop.wait())
    await asyncio.wait([opening, stopping], return_when=asyncio.FIRST_COMPLETED)
    if not opening.done():  # stopped before any client was accepted
        opening.cancel()
        log.info("gateway.stopped", taken=0, open=0)
        return EXIT_OK
    stopping.cancel()
    if isinstance(error := opening.exception(), OSError):
        log.error("listener.bind_failed", listen=server.config.listen, why=error)
        return EXIT_STARTUP_FAILED
    opening.result()
    return None


async def _reload_on_signal(
    server: GatewayServer, signals: SignalEvents, config_path: str, log: BoundedLogger
) -> None:
    while True:
        await signals.reload.wait()
        signals.reload.clear()
        try:
            server.reload(load_config(config_path))
        except ConfigError as error:  # the previous configuration stays in force
            log.error("config.rejected", file=config_path, why=error)
        except Exception:  # keeps this task running, so that later reloads still work
            log.exception("config.rejected", file=config_path)


async def _shut_down(server: GatewayServer, requested_at: float, log: BoundedLogger) -> None:
    loop, listener = server.loop, server.listener
    server.log_stats()
    log.info("gateway.stopping", open=len(server.operations), clients=len(listener.clients))
    request_classes = server.settings.request_classes.values()
    longest = max(request_class.deadline for request_class in request_classes) / TICKS_PER_SECOND
    killed_at = requested_at + min(MAX_DRAIN_TIME, longest) + KILL_MARGIN
    loop.call_at(killed_at - BEGIN_SHUTDOWN_BEFORE_KILL, listener.begin_shutdown)
    loop.call_at(killed_at - ABORT_BEFORE_KILL, server.abort_all)
    loop.call_at(killed_at - FINISH_BEFORE_KILL, listener.finish_all)
    await asyncio.sleep(ACCEPT_TIME)
    while not listener.close_if_drained() and loop.time() < killed_at:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL)
