"""Loads the platform's JSON configuration of a gateway; only values in use are checked."""

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
"""Large enough for an endpoint list of thousands of nodes."""
NS_PER_SECOND = 1_000_000_000


class GatewayConfig(NamedTuple):
    """Configuration of a gateway; times are in seconds."""

    listen: SocketAddress
    discovery: SocketAddress
    seed: int
    max_sockets: int
    """Limit of the process's file descriptors."""
    memory_mb: float
    """Limit of the process's memory in megabytes."""
    known_endpoints: list[DiscoveredEndpoint]
    """The last endpoint list known to the platform; it may be outdated."""
    settings: SchedulerSettings
    shard_count: int
    max_operations: int
    """Limit of operations in flight."""
    connect_timeout: float
    idle_timeout: float
    """Time after which a node closes an idle connection."""
    allows_retry_mark: bool
    """Whether clients mark their retries."""
    is_write: dict[str, bool]
    """Whether a request class changes data, by class name."""


def load_config(path: str) -> GatewayConfig:
    """Loads a file; raises ConfigError if it is unreadable, truncated or incomplete."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"cannot read the file: {error.strerror}", path) from error
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"the file is larger than {MAX_FILE_BYTES} bytes", path)
    return parse_config(data)


def parse_config(data: bytes) -> GatewayConfig:
    """Parses a file's content; raises ConfigError."""
    try:
        return _build_config(orjson.loads(data))
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"the file is not valid JSON: {error}") from error
    except KeyError as error:
        raise ConfigError(f"the file lacks the key {error}", *error.args) from error
    except MALFORMED_JSON_ERRORS as error:
        raise ConfigError(f"the file holds an invalid value: {error}") from error


def _build_config(raw: dict) -> GatewayConfig:
    env = raw["settings"]
    limits, extra, known = env["Limits"], env["Extra"], raw.get("known") or {}
    return GatewayConfig(
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(raw["seed"], 16),
        max_sockets=int(raw["limits"]["sockets"]),
        memory_mb=float(raw["limits"]["memory_mb"]),
        known_endpoints=parse_endpoints(known.get("servers", ())).endpoints,
        settings=scheduler_settings_of(env),
        shard_count=extra["SlotsTotal"],
        max_operations=limits["MostHeld"],
        connect_timeout=limits["DialTimeout"] / NS_PER_SECOND,
        idle_timeout=limits["ConnIdle"] / NS_PER_SECOND,
        allows_retry_mark=bool(env.get("ClientHabits", {}).get("MarksRetry")),
        is_write={
            row["Name"]: bool(writes)
            for row, writes in zip(env["Classes"], extra["ChangesData"], strict=False)  # lengths may differ
        },
    )
