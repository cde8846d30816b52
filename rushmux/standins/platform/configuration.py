"""A gateway's configuration, including the platform's settings."""

NS_PER_MS = 1_000_000


def settings(  # over 40 lines: one literal
    *,
    plan: dict | None = None,
    deadline: int = 1_000,
    objective: int = 400,
    dedup_window: int | None = None,
    write_idempotency: str = "keyed",
    gateways: int = 3,
    shards: int = 4,
    asks_discovery: bool = False,
    **limits,
) -> dict:
    """Returns settings in the format of the simulator's first message, suited to tests.

    Args:
        plan: Overrides values of the plan.
        deadline: Of both request classes, in milliseconds.
        objective: Latency objective of both request classes, in milliseconds.
        dedup_window: Of the class of writes, in milliseconds.
        write_idempotency: Of the class of writes: "safe", "keyed" or "unsafe".
        gateways: Number of gateways that share a volume.
        shards: Number of cells.
        asks_discovery: Whether changes of the endpoint list have to be asked for.
        limits: Overrides values of `Limits`.
    """
    return {
        "Classes": [
            {
                "Name": "read",
                "Aim": objective * NS_PER_MS,
                "Deadline": deadline * NS_PER_MS,
                "Worth": 3,
                "Idempotency": "safe",
            },
            {
                "Name": "write",
                "Aim": objective * NS_PER_MS,
                "Deadline": deadline * NS_PER_MS,
                "Worth": 2,
                "Idempotency": write_idempotency,
                "Group": "cell",
                "Window": (dedup_window or max(3_000, deadline)) * NS_PER_MS,
            },
        ],
        "Grades": [
            {
                "Name": "base",
                "Nominal": 1_000,
                "FloorRate": 500,
                "NeverOver": 0,
                "CapDepth": 0,
                "Tolerance": 0,
                "Parts": 1,
                "WorthFactor": 1,
                **(plan or {}),
            }
        ],
        "Rules": {
            "AskWithin": 9_000 * NS_PER_MS,
            "OverloadFor": 1_000 * NS_PER_MS,
            "FallMultiple": 3,
            "StartCapacity": 0.2,
            "WarmWithin": 3_000 * NS_PER_MS,
            "StopSendingWithin": 250 * NS_PER_MS,
        },
        "Limits": {
            "MaxAttempts": 3,
            "RetryAfter": False,
            "MaxRetryAfter": 0,
            "MayProbe": False,
            "MostHeld": 500,
            "DialTimeout": 250 * NS_PER_MS,
            "ConnIdle": 4_000 * NS_PER_MS,
            "Cancel": True,
            **limits,
        },
        "Extra": {
            "UnitMean": 2,
            "MostUnits": 8,
            "ColdUnits": 20,
            "UsePeriod": 1_000 * NS_PER_MS,
            "SlotsTotal": shards,
            "ChangesData": [False, True],
            "SaysOthers": False,
        },
        "Report": {"How": "answers", "Columns": ["outstanding"]},
        "ReplicasOfMe": gateways,
        "Period": 2 * NS_PER_MS,
        "Discovery": "ask" if asks_discovery else "push",
        "ClientHabits": {"MarksRetry": False},
    }


def configuration(
    discovery_port: int,
    known_rows: list[dict],
    listen_port: int = 0,
    *,
    sockets: int = 256,
    memory_mb: int = 128,
    **options,
) -> dict:
    """Returns a gateway's configuration; `options` are those of `settings`."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen_port or 1}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"version": 1, "full": True, "servers": known_rows},
        "settings": settings(**options),
    }
