"""The configuration that the platform hands a gateway: a file of JSON, checked as far as it is used."""

from typing import NamedTuple

import orjson

from rushmux.gateway.endpoints import (
    MALFORMED_JSON_ERRORS,
    DiscoveredEndpoint,
    SocketAddress,
    parse_address,
    parse_endpoints,
)
from rushmux.gateway.errors import ConfigError
from rushmux.scheduling.interface import SchedulerSettings
from rushmux.settings.platform import scheduler_settings_of

MAX_FILE_BYTES = 8 << 20
"""A list of thousands of nodes has its place in it."""
NANOSECONDS = 1_000_000_000
"""In a second."""


class GatewayConfig(NamedTuple):
    """What a gateway is told at its start; times in seconds."""

    listen: SocketAddress
    discovery: SocketAddress
    seed: int
    max_sockets: int
    """Descriptors of the process."""
    known_endpoints: list[DiscoveredEndpoint]
    """The last endpoint list that the platform knew; it may be old."""
    settings: SchedulerSettings
    shard_count: int
    max_operations: int
    """Operations in flight at a time."""
    connect_timeout: float
    idle_timeout: float
    """Until a node closes an idle connection."""
    allows_retry_mark: bool
    """Whether clients mark their retries."""
    is_write: dict[str, bool]
    """By request class: whether it changes data."""


def load_config(path: str) -> GatewayConfig:
    """Reads a file; ConfigError where it can't be read, is torn or lacks what is needed."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"the file cannot be read: {error.strerror}", path) from error
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"the file holds over {MAX_FILE_BYTES} bytes", path)
    return parse_config(data)


def parse_config(data: bytes) -> GatewayConfig:
    """Returns a file's content; ConfigError."""
    try:
        return _config_of(orjson.loads(data))
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"the file is no JSON: {error}") from error
    except KeyError as error:
        raise ConfigError(f"the file lacks {error}", *error.args) from error
    except MALFORMED_JSON_ERRORS as error:
        raise ConfigError(f"the file has a value that makes no sense: {error}") from error


def _config_of(raw: dict) -> GatewayConfig:
    env = raw["settings"]
    limits, extra, known = env["Limits"], env["Extra"], raw.get("known") or {}
    return GatewayConfig(
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(raw["seed"], 16),
        max_sockets=int(raw["limits"]["sockets"]),
        known_endpoints=parse_endpoints(known.get("servers", ())).endpoints,
        settings=scheduler_settings_of(env),
        shard_count=extra["SlotsTotal"],
        max_operations=limits["MostHeld"],
        connect_timeout=limits["DialTimeout"] / NANOSECONDS,
        idle_timeout=limits["ConnIdle"] / NANOSECONDS,
        allows_retry_mark=bool(env.get("ClientHabits", {}).get("MarksRetry")),
        is_write={
            row["Name"]: bool(writes)
            for row, writes in zip(env["Classes"], extra["ChangesData"], strict=False)  # as far as both go
        },
    )
