"""Conversion of the platform's settings to the scheduler's.

The simulator sends them in its first message; the gateway reads them from its configuration file.  The keys
are the platform's.
"""

from rushmux.scheduling.interface import DedupScope, Idempotency, QosPlan, RequestClass, SchedulerSettings

TICK_NS = 100_000
"""Nanoseconds in a tick."""
NS_PER_MS = 1_000_000
IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
"""By the platform's names."""
LOAD_COLUMNS = {"backlog": 1, "recent_ms": NS_PER_MS / TICK_NS}
"""Columns of a load report that the scheduler uses, with the factors to its units."""


def scheduler_settings_of(env: dict) -> SchedulerSettings:
    """Returns the scheduler's settings.

    Raises:
        KeyError, TypeError, ValueError: A value is missing or malformed.
    """
    rules, limits, extra = env["Rules"], env["Limits"], env["Extra"]
    return SchedulerSettings(
        request_classes={row["Name"]: _request_class_of(row) for row in env["Classes"]},
        plans={row["Name"]: _plan_of(row) for row in env["Grades"]},
        gateway_count=env["ReplicasOfMe"],
        round_interval=_ticks_rounded_up(env["Period"]),
        polls_endpoints=env["Discovery"] == "ask",
        poll_interval=rules["AskWithin"] // TICK_NS,
        max_attempts=limits["MaxAttempts"],
        max_retry_after=limits["MaxRetryAfter"] // TICK_NS if limits["RetryAfter"] else 0,
        mean_units=extra["UnitMean"],
        max_units=extra["MostUnits"],
        slow_start_units=extra["ColdUnits"],
        slow_start_window=_ticks_rounded_up(rules["OverloadFor"]),
        overload_multiple=rules["FallMultiple"],
        initial_capacity=rules["StartCapacity"],
        warm_up_time=_ticks_rounded_up(rules["WarmWithin"]),
        usage_period=extra["UsePeriod"] // TICK_NS,
        key_cooldown=_ticks_rounded_up(rules.get("OrderSettle", 0)),
        retry_budget_ratio=rules.get("ExtraRatio"),
        retry_budget_burst=rules.get("ExtraFree", 0),
        retry_budget_window=_ticks_rounded_up(rules.get("BudgetSpan", 0)),
        allows_hedging=limits.get("SecondCopies", False),
        allows_cancellation=limits.get("Cancel", False),
        reports_load=_reports_service_time(env),
    )


def _request_class_of(row: dict) -> RequestClass:
    return RequestClass(
        row["Name"],
        row["Aim"] // TICK_NS,
        row["Deadline"] // TICK_NS,
        row["Worth"],
        IDEMPOTENCY[row["Idempotency"]],
        DedupScope(row.get("Group", "all")),
        row.get("Window", 0) // TICK_NS,
        row.get("ByArrival", False),
    )


def _plan_of(row: dict) -> QosPlan:
    return QosPlan(
        row["Name"],
        row["Nominal"],
        row["FloorRate"],
        row["NeverOver"],
        row["CapDepth"],
        row["Tolerance"],
        row["Parts"],
        row["WorthFactor"],
    )


def _ticks_rounded_up(nanoseconds: int) -> int:
    return -(-nanoseconds // TICK_NS)


def _reports_service_time(env: dict) -> bool:
    return bool(env["Limits"].get("MayProbe") and load_positions(env)[-1] is not None)


def load_positions(env: dict) -> list[int | None]:
    """Returns the positions of `LOAD_COLUMNS` in a load report's row; None for missing columns."""
    report = env.get("Report", {})
    columns = report.get("Columns", []) if report.get("How") in ("answers", "probe") else []
    return [columns.index(name) if name in columns else None for name in LOAD_COLUMNS]
