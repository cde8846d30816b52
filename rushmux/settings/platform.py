"""The platform's settings: the object of the simulator's first message, read into the module's terms.

The adapter finds it in that message, the real gateway in its configuration.
"""

from rushmux import interface as say

TICK_NS = 100_000  # nanoseconds in a tenth of a millisecond, the module's unit of time

REPEATS = {"safe": say.REPLAYABLE, "keyed": say.REFERENCED, "unsafe": say.SINGLE_USE}
LOADS = {"backlog": 1, "recent_ms": 1_000_000 / TICK_NS}  # name -> in the module's unit


def terms_of(env):
    """The settings, as the module reads them."""
    rules, limits, extra = env["Rules"], env["Limits"], env["Extra"]
    lanes = {
        row["Name"]: say.Lane(
            row["Name"],
            row["Aim"] // TICK_NS,
            row["Deadline"] // TICK_NS,
            row["Worth"],
            REPEATS[row["Idempotency"]],
            row.get("Group", "all"),
            row.get("Window", 0) // TICK_NS,
            row.get("ByArrival", False),
        )
        for row in env["Classes"]
    }
    plans = {
        row["Name"]: say.Plan(
            row["Name"],
            row["Nominal"],
            row["FloorRate"],
            row["NeverOver"],
            row["CapDepth"],
            row["Tolerance"],
            row["Parts"],
            row["WorthFactor"],
        )
        for row in env["Grades"]
    }
    return say.Terms(
        lanes=lanes,
        plans=plans,
        gateways=env["ReplicasOfMe"],
        tick=-(-env["Period"] // TICK_NS),
        list_asked=env["Discovery"] == "ask",
        ask_within=rules["AskWithin"] // TICK_NS,
        executions=limits["MaxAttempts"],
        come_back=limits["MaxRetryAfter"] // TICK_NS if limits["RetryAfter"] else 0,
        mean_units=extra["UnitMean"],
        most_units=extra["MostUnits"],
        cold_units=extra["ColdUnits"],
        cold_span=-(-rules["OverloadFor"] // TICK_NS),
        fall_multiple=rules["FallMultiple"],
        cold_start=rules["StartCapacity"],
        warm_within=-(-rules["WarmWithin"] // TICK_NS),
        meter_span=extra["UsePeriod"] // TICK_NS,
        order_rest=-(-rules.get("OrderSettle", 0) // TICK_NS),
        budget_share=rules.get("ExtraRatio"),
        budget_free=rules.get("ExtraFree", 0),
        budget_span=-(-rules.get("BudgetSpan", 0) // TICK_NS),
        copies=limits.get("SecondCopies", False),
        cancel=limits.get("Cancel", False),
        # Only where the service time is told.
        load_asked=bool(limits.get("MayProbe") and loads_of(env)[-1] is not None),
    )


def loads_of(env):
    """Where the values of a load report stand in its row; None for those it lacks."""
    report = env.get("Report", {})
    columns = report.get("Columns", []) if report.get("How") in ("answers", "probe") else []
    return [columns.index(name) if name in columns else None for name in LOADS]
