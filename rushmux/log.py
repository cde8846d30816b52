"""Structured logs: one JSON line per event, timed by the event loop's clock.

Programs pass loggers to their parts; there is no global one.
"""

import asyncio
import logging

import orjson
import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def _add_time_and_level(logger, method, event):
    try:
        event["at"] = round(asyncio.get_running_loop().time(), 4)
    except RuntimeError:  # the loop is not running yet
        event["at"] = 0.0
    event["level"] = method
    return event


def _make_logger(sink, level):
    return structlog.wrap_logger(
        None,
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        cache_logger_on_first_use=False,
        processors=[_add_time_and_level, structlog.processors.format_exc_info, sink],
    )


def to_stream(stream, level="info"):
    """A logger that writes each event to a binary stream as a line, in one write."""

    def sink(logger, method, event):
        stream.write(orjson.dumps(event, default=str) + b"\n")
        stream.flush()
        raise structlog.DropEvent

    return _make_logger(sink, level)


def to_list(rows: list, level="info"):
    """A logger that appends its events to a list."""

    def sink(logger, method, event):
        rows.append(event)
        raise structlog.DropEvent

    return _make_logger(sink, level)
