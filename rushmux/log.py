"""Structured logs: one line of JSON for an event, times on the loop's clock.

Every program hands its logger down; nothing reaches for a global one.
"""

import asyncio
import logging

import orjson
import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def _loop_time(logger, method, event):
    try:
        event["at"] = round(asyncio.get_running_loop().time(), 4)
    except RuntimeError:  # before the loop runs
        event["at"] = 0.0
    event["level"] = method
    return event


def _wrapped(sink, level):
    return structlog.wrap_logger(
        None,
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        cache_logger_on_first_use=False,
        processors=[_loop_time, structlog.processors.format_exc_info, sink],
    )


def to_stream(stream, level="info"):
    """A logger that writes lines to a binary stream, each whole."""

    def sink(logger, method, event):
        stream.write(orjson.dumps(event, default=str) + b"\n")
        stream.flush()
        raise structlog.DropEvent

    return _wrapped(sink, level)


def to_list(rows: list, level="info"):
    """A logger that puts its events into a list."""

    def sink(logger, method, event):
        rows.append(event)
        raise structlog.DropEvent

    return _wrapped(sink, level)
