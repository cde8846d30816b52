"""Plain text of routes and of what a proof found, for people."""

from rushmux import interface as say


def _value(flow):
    route, none = flow.route, say.NO_ROUTE
    yield "time_out_ms", "-" if route.time_out == none.time_out else f"{route.time_out / 10:g} ms"
    yield "executions", str(route.executions)
    yield "wait_ms", f"{route.wait / 10:g} ms" if route.wait else "-"
    yield "second_copy", "-" if route.copy_after is None else f"after {route.copy_after / 10:g} ms"
    yield "held", "-" if route.held == none.held else str(route.held)
    yield "budget", "-" if route.free == none.free else f"{route.share:g} each, {route.free:g} saved"


def routes(flows):
    """Lines: each lane and plan with what it got and the row that said so."""
    for flow in flows:
        parts = [
            f"{field.removesuffix('_ms')} {value}"
            + (f" ({flow.places[field].split('/')[2]})" if field in flow.places else "")
            for field, value in _value(flow)
            if value != "-"
        ]
        yield f"{flow.lane.name} / {flow.plan}: {', '.join(parts)}"


def facts(found):
    """Lines: the worst of each matter against its bound."""
    for fact in found:
        bound = "" if fact.bound is None else f" of {fact.bound:g}"
        sure = "" if fact.exact else "   (at most; not known to be reached)"
        yield f"{fact.matter:72} {fact.worst:>12.6g}{bound} {fact.unit}{sure}".rstrip()
