"""`rushmux policy`: what people ask of the planners about the fleet's policy."""

import asyncio
import difflib
import getpass
import json
import time

import click

from rushmux.cli.planning import PLANNER
from rushmux.cli.shared import deployed, new_seed

MOST_LOOKS = 100_000  # of one `watch`
EVERY = 0.5  # seconds between two looks
TEXT = ("text", "texts")


def asked(planner, verb, **order) -> tuple[str, dict]:
    """What was said, and the state behind it."""
    from rushmux.planner import admin_server

    try:
        answer = asyncio.run(admin_server.policy(planner, verb, **order))
    except admin_server.NotOrdered as fault:
        raise click.ClickException(str(fault)) from fault
    return answer.said, json.loads(answer.state or b"{}")


def done(planner, verb, **order):
    """An order under a name of its own, so that an answer that was lost costs no second one."""
    said, state = asked(planner, verb, client=f"{new_seed(None):012x}", n=1, by=getpass.getuser(), **order)
    click.echo(said)
    if said.startswith("refused"):
        raise SystemExit(1)
    return said, state


def lines(state) -> list[str]:
    """The policy and who goes by what, as plain text."""
    force, staged = state["force"], state["staged"]
    found = [
        f"in force: {force['number'] if force else 'none'}; under way: "
        + (f"{staged['number']} by {staged['by']}" if staged else "none")
        + f"; nodes turn away below {state['floor']}",
        f"planners: {', '.join(state['planners'])}; {state['leader'] or 'none'} leads, term {state['term']}",
    ]
    if state["harm"]:
        found.append(f"waits for all: {state['harm']}")
    found.append(f"{'member':10}{'goes by':>8}{'joint':>7}{'lease':>7}  against")
    for row in state["members"]:
        says = row["says"] if row["says"] is not None else f"({row['goes']})"
        joint = str(row["joint"] or "-")
        against = "forgotten" if row["gone"] else row["against"]
        found.append(f"{row['member']:10}{says!s:>8}{joint:>7}{row['lease']:>7}  {against}")
    return found


def waited(planner, number, seconds):
    """Waits until a change has ended; exit 1 where it took hold nowhere, 2 where it is still under way."""
    until = time.monotonic() + seconds
    while True:
        _, state = asked(planner, "show")
        past = next((past for past in state["history"] if past["number"] == number), None)
        if past is not None:
            if past["end"] == "decided":
                click.echo(f"{number} is decided: {past['why']}")
                return
            click.echo(f"{number} took hold nowhere ({past['end']}): {past['why']}")
            raise SystemExit(1)
        if time.monotonic() >= until:
            click.echo(f"{number} is still under way")
            raise SystemExit(2)
        time.sleep(EVERY)


WAIT = click.option("--wait", type=float, default=0.0, help="seconds to wait until it has ended")


@click.group()
def policy():
    """The fleet's policy: lanes, plans, limits and routes, decided in common by the planners."""


@policy.command()
@PLANNER
@click.option("--text", is_flag=True, help="the policy in force itself, as JSON")
def show(planner, text):
    """What is in force, what is under way, and which member goes by what."""
    _, state = asked(planner, "show")
    if text:
        click.echo(json.dumps(json.loads(state["force"]["text"]), indent=2, ensure_ascii=False))
    else:
        click.echo("\n".join(lines(state)))


@policy.command()
@PLANNER
@WAIT
@click.option("--base", type=int, help="refuse it where another number is in force")
@click.argument("file", type=click.Path())
def propose(planner, wait, base, file):
    """Proposes the policy of a deployment file: it takes hold at every member, or at none."""
    from rushmux.settings import policy as documents

    said, _ = done(planner, "propose", text=documents.text(deployed(file, plainly=True).raw), base=base)
    if wait:
        waited(planner, int(said.split()[0]), wait)


@policy.command()
@PLANNER
@WAIT
@click.argument("number", type=int)
def revert(planner, wait, number):
    """Proposes a policy of before anew, under a new number."""
    said, _ = done(planner, "revert", number=number)
    if wait:
        waited(planner, int(said.split()[0]), wait)


@policy.command()
@PLANNER
@click.argument("number", type=int)
def withdraw(planner, number):
    """Ends a change that is under way, everywhere."""
    done(planner, "withdraw", number=number)


@policy.command()
@PLANNER
@click.argument("member")
def forget(planner, member):
    """Says that an edge is gone for good, so that changes do not wait for what it might go by."""
    done(planner, "forget", member=member)


@policy.command()
@PLANNER
def history(planner):
    """All changes and how they ended."""
    for past in asked(planner, "show")[1]["history"]:
        click.echo(f"{past['number']:>4} {past['end']:10} {past['by']}: {past['why']}")


@policy.command()
@PLANNER
@click.argument("file", type=click.Path(), required=False)
@click.option("--past", type=int, help="compare with a policy of before that is still kept")
def diff(planner, file, past):
    """What a file, or a policy of before, would change in the one in force."""
    from rushmux.settings import policy as documents

    _, state = asked(planner, "show")
    if past is not None:
        if str(past) not in state["texts"]:
            raise click.ClickException(f"{past} is not kept; there are {', '.join(state['texts']) or 'none'}")
        other, name = state["texts"][str(past)], f"policy {past}"
    elif file:
        other, name = documents.text(deployed(file, plainly=True).raw), file
    else:
        raise click.ClickException("name a file, or --past NUMBER")

    def plain(text):
        return json.dumps(json.loads(text), indent=1, sort_keys=True, ensure_ascii=False).splitlines()

    found = list(
        difflib.unified_diff(
            plain(state["force"]["text"]),
            plain(other),
            f"policy {state['force']['number']}",
            name,
            lineterm="",
        )
    )
    click.echo("\n".join(found) if found else "the same")


@policy.command()
@PLANNER
@click.option("--every", type=click.FloatRange(0.1, 60), default=EVERY, show_default=True)
@click.option("--looks", type=click.IntRange(1, MOST_LOOKS), default=MOST_LOOKS, show_default=True)
def watch(planner, every, looks):
    """Prints changes and members as they come to pass."""
    known = {}
    for look in range(looks):
        _, state = asked(planner, "show")
        rows = {
            ("change", past["number"]): f"change {past['number']}: {past['end']}, {past['why']}"
            for past in state["history"]
        }
        if state["staged"]:
            number = state["staged"]["number"]
            rows["change", number] = f"change {number}: under way, by {state['staged']['by']}"
        for row in state["members"]:
            joint = f", joint in {row['joint']}" if row["joint"] else ""
            rows["member", row["member"]] = f"{row['member']}: goes by {row['says']}{joint}"
        for key, text in rows.items():
            if known.get(key) != text:
                click.echo(text)
        known = rows
        if look + 1 < looks:
            time.sleep(every)
