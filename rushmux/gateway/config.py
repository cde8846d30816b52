"""The configuration that the platform hands a gateway: a file of JSON, checked as far as it is used."""

from typing import NamedTuple

import orjson

from rushmux.gateway.endpoints import DiscoveredEndpoint, address, members
from rushmux.scheduling.interface import SchedulerSettings
from rushmux.settings.platform import scheduler_settings_of

MOST_BYTES = 8 << 20  # of the file: a list of thousands of nodes
NS = 1_000_000_000  # nanoseconds in a second


class BadFile(Exception):
    """A file that can't be used, with the reason."""


class Start(NamedTuple):
    """What a gateway is told at its start; times in seconds."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: list[DiscoveredEndpoint]
    settings: SchedulerSettings
    shards: int
    held: int  # operations open at a time
    dial: float
    idle: float  # until a node closes a connection that nothing uses
    marks: bool  # clients mark their retries
    writes: dict[str, bool]  # lane -> whether it changes data


def read(path) -> Start:
    """Reads the file; BadFile where it can't be read, is torn or lacks what is needed."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as fault:
        raise BadFile(f"cannot be read: {fault.strerror}") from fault
    if len(data) > MOST_BYTES:
        raise BadFile(f"holds over {MOST_BYTES} bytes")
    return parsed(data)


def parsed(data: bytes) -> Start:
    try:
        raw = orjson.loads(data)
        env = raw["settings"]
        limits, extra, known = env["Limits"], env["Extra"], raw.get("known") or {}
        return Start(
            listen=address(raw["listen"]),
            discovery=address(raw["discovery"]),
            seed=int(raw["seed"], 16),
            sockets=int(raw["limits"]["sockets"]),
            known=members(known.get("servers", ()))[0],
            settings=scheduler_settings_of(env),
            shards=extra["SlotsTotal"],
            held=limits["MostHeld"],
            dial=limits["DialTimeout"] / NS,
            idle=limits["ConnIdle"] / NS,
            marks=bool(env.get("ClientHabits", {}).get("MarksRetry")),
            writes={row["Name"]: bool(writes) for row, writes in zip(env["Classes"], extra["ChangesData"])},
        )
    except orjson.JSONDecodeError as fault:
        raise BadFile(f"is no JSON: {fault}") from fault
    except KeyError as fault:
        raise BadFile(f"lacks {fault}") from fault
    except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as fault:
        raise BadFile(f"has a value that makes no sense: {fault}") from fault
