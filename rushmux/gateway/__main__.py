"""Runs one gateway on the platform until SIGTERM.  `NODE_CONFIG` names its configuration."""

import asyncio
import gc
import os
import signal
import sys
import time

from rushmux.gateway.bounded_log import Lines
from rushmux.gateway.config import BadFile, read
from rushmux.gateway.server import Front
from rushmux.scheduling.driver import TICKS_PER_SECOND

SERVE_ON = 0.5  # seconds after SIGTERM in which new connections still come: a gateway that nobody
# is connected to ends no sooner
LATEST = 3.0  # seconds: the most that the platform counts of the longest hard stop
MORE = 0.7  # seconds past that until SIGKILL may come
TO_ANSWER = 0.8  # seconds before that from which connections end as soon as they are quiet: what
# comes just before has the usual time of an answer until it is ended
TO_END = 0.4  # seconds before that when what is open gets its final answer; no connection is taken
TO_CUT = 0.15  # seconds before that when nothing more is read: for the way of the last answers
LOOK = 0.05  # seconds between two looks whether all is answered


async def serve(path) -> int:
    """Runs the gateway of a configuration file; the exit code."""
    loop = asyncio.get_running_loop()
    stop, again, told_at = asyncio.Event(), asyncio.Event(), []

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
        # Danger: a long turn of the loop, and the stop's times would count from its end.
        signal.signal(number, lambda *_: told_at.append(loop.time()))
        signal.siginterrupt(number, False)  # as the loop has it: no call is broken off
    loop.add_signal_handler(signal.SIGHUP, again.set)
    log = Lines(loop.time, os.environ.get("NODE_NAME", "gateway"))
    # Danger: a fault in a timer is printed by the loop, past the log's bound, and nobody hears of it.
    loop.set_exception_handler(
        lambda _, fault: log.error("loop.fault", what=fault["message"], fault=repr(fault.get("exception")))
    )
    try:
        front = Front(read(path), time.time() - loop.time(), loop, log)
    except BadFile as fault:
        log.error("config.refused", file=path or "(NODE_CONFIG is not set)", why=fault)
        return 2
    opening, told = loop.create_task(front.open()), loop.create_task(stop.wait())
    await asyncio.wait([opening, told], return_when=asyncio.FIRST_COMPLETED)
    if not opening.done():  # told to end before it was ready: nobody has been let in
        opening.cancel()
        log.info("stopped", taken=0, open=0)
        return 0
    told.cancel()
    if isinstance(fault := opening.exception(), OSError):
        log.error("listen.refused", listen="%s:%d" % front.start.listen, why=fault)
        return 2
    opening.result()
    gc.collect()
    gc.freeze()  # what stays for good is not looked through again

    async def reloads():
        while True:
            await again.wait()
            again.clear()
            try:
                front.reload(read(path))
            except BadFile as fault:  # the old one holds
                log.error("config.refused", file=path, why=fault)
            except Exception:  # pylint: disable=broad-except
                # Danger: this task would end with it, and no later configuration be heard of.
                log.exception("config.refused", file=path)

    task = loop.create_task(reloads())
    await stop.wait()
    log.info("stops", open=len(front.operations), clients=len(front.listener.clients))
    longest = max(lane.deadline for lane in front.settings.request_classes.values()) / TICKS_PER_SECOND
    killed_at = told_at[0] + min(LATEST, longest) + MORE
    loop.call_at(killed_at - TO_ANSWER, front.listener.begin_shutdown)
    loop.call_at(killed_at - TO_END, front.end_all)
    loop.call_at(killed_at - TO_CUT, front.listener.finish_all)
    await asyncio.sleep(SERVE_ON)
    while not front.listener.close_if_drained() and loop.time() < killed_at:
        await asyncio.sleep(LOOK)
    task.cancel()
    front.watch_list.close()
    front.pool.close()
    log.info(
        "stopped",
        taken=front.listener.stats.accepted_operations,
        open=sum(not one.ended for one in front.operations.values()),
    )
    return 0


if __name__ == "__main__":
    # Danger: a signal before the loop runs would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(asyncio.run(serve(os.environ.get("NODE_CONFIG", ""))))
