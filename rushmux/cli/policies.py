"""`rushmux policy`: commands on the fleet's policy."""

import asyncio
import difflib
import getpass
import json
import time

import click

from rushmux.cli.planning import PLANNER
from rushmux.cli.shared import deployed, new_seed

MAX_POLLS = 100_000  # of one `watch`
POLL_INTERVAL = 0.5  # seconds between two requests for the state


def request(planner, verb, **fields) -> tuple[str, dict]:
    """Sends a policy command; what came of it, and the policy's state."""
    from rushmux.planner import admin_client
    from rushmux.planner.errors import CommandRejectedError

    try:
        answer = asyncio.run(admin_client.send_policy_command(planner, verb, **fields))
    except CommandRejectedError as fault:
        raise click.ClickException(str(fault)) from fault
    return answer.said, json.loads(answer.state or b"{}")


def run_command(planner, verb, **fields):
    """Sends a command under an idempotency key of its own, so that a lost answer does not repeat it."""
    result, state = request(
        planner, verb, client=f"{new_seed(None):012x}", n=1, by=getpass.getuser(), **fields
    )
    click.echo(result)
    if result.startswith("refused"):
        raise SystemExit(1)
    return result, state


def format_state(state) -> list[str]:
    """The policy, and which member goes by what, as lines of plain text."""
    active, staged = state["force"], state["staged"]
    lines = [
        f"in force: {active['number'] if active else 'none'}; under way: "
        + (f"{staged['number']} by {staged['by']}" if staged else "none")
        + f"; nodes turn away below {state['floor']}",
        f"planners: {', '.join(state['planners'])}; {state['leader'] or 'none'} leads, term {state['term']}",
    ]
    if state["harm"]:
        lines.append(f"waits for all: {state['harm']}")
    lines.append(f"{'member':10}{'goes by':>8}{'joint':>7}{'lease':>7}  against")
    for row in state["members"]:
        reported = row["says"] if row["says"] is not None else f"({row['goes']})"
        joint = str(row["joint"] or "-")
        against = "forgotten" if row["gone"] else row["against"]
        lines.append(f"{row['member']:10}{reported!s:>8}{joint:>7}{row['lease']:>7}  {against}")
    return lines


def await_change(planner, number, seconds):
    """Waits until a change has ended; exit 1 where it took hold nowhere, 2 where it is still under way."""
    deadline = time.monotonic() + seconds
    while True:
        _, state = request(planner, "show")
        change = next((change for change in state["history"] if change["number"] == number), None)
        if change is not None:
            if change["end"] == "decided":
                click.echo(f"{number} is decided: {change['why']}")
                return
            click.echo(f"{number} took hold nowhere ({change['end']}): {change['why']}")
            raise SystemExit(1)
        if time.monotonic() >= deadline:
            click.echo(f"{number} is still under way")
            raise SystemExit(2)
        time.sleep(POLL_INTERVAL)


WAIT = click.option("--wait", type=float, default=0.0, help="seconds to wait until it has ended")


@click.group()
def policy():
    """The fleet's policy: lanes, plans, limits and routes, decided in common by the planners."""


@policy.command()
@PLANNER
@click.option("--text", is_flag=True, help="the policy in force itself, as JSON")
def show(planner, text):
    """What is in force, what is under way, and which member goes by what."""
    _, state = request(planner, "show")
    if text:
        click.echo(json.dumps(json.loads(state["force"]["text"]), indent=2, ensure_ascii=False))
    else:
        click.echo("\n".join(format_state(state)))


@policy.command()
@PLANNER
@WAIT
@click.option("--base", type=int, help="refuse it where another number is in force")
@click.argument("file", type=click.Path())
def propose(planner, wait, base, file):
    """Proposes the policy of a deployment file: it takes hold at every member, or at none."""
    from rushmux.settings import policy as documents

    result, _ = run_command(
        planner, "propose", text=documents.text(deployed(file, plainly=True).raw), base=base
    )
    if wait:
        await_change(planner, int(result.split()[0]), wait)


@policy.command()
@PLANNER
@WAIT
@click.argument("number", type=int)
def revert(planner, wait, number):
    """Proposes a policy of before anew, under a new number."""
    result, _ = run_command(planner, "revert", number=number)
    if wait:
        await_change(planner, int(result.split()[0]), wait)


@policy.command()
@PLANNER
@click.argument("number", type=int)
def withdraw(planner, number):
    """Ends a change that is under way, everywhere."""
    run_command(planner, "withdraw", number=number)


@policy.command()
@PLANNER
@click.argument("member")
def forget(planner, member):
    """Says that an edge is gone for good, so that changes do not wait for what it might go by."""
    run_command(planner, "forget", member=member)


@policy.command()
@PLANNER
def history(planner):
    """All changes and how they ended."""
    for change in request(planner, "show")[1]["history"]:
        click.echo(f"{change['number']:>4} {change['end']:10} {change['by']}: {change['why']}")


@policy.command()
@PLANNER
@click.argument("file", type=click.Path(), required=False)
@click.option("--past", type=int, help="compare with a policy of before that is still kept")
def diff(planner, file, past):
    """What a file, or a policy of before, would change in the one in force."""
    from rushmux.settings import policy as documents

    _, state = request(planner, "show")
    if past is not None:
        if str(past) not in state["texts"]:
            raise click.ClickException(f"{past} is not kept; there are {', '.join(state['texts']) or 'none'}")
        other, name = state["texts"][str(past)], f"policy {past}"
    elif file:
        other, name = documents.text(deployed(file, plainly=True).raw), file
    else:
        raise click.ClickException("name a file, or --past NUMBER")

    def indented(text):
        return json.dumps(json.loads(text), indent=1, sort_keys=True, ensure_ascii=False).splitlines()

    difference = list(
        difflib.unified_diff(
            indented(state["force"]["text"]),
            indented(other),
            f"policy {state['force']['number']}",
            name,
            lineterm="",
        )
    )
    click.echo("\n".join(difference) if difference else "the same")


@policy.command()
@PLANNER
@click.option("--every", "interval", type=click.FloatRange(0.1, 60), default=POLL_INTERVAL, show_default=True)
@click.option("--looks", "polls", type=click.IntRange(1, MAX_POLLS), default=MAX_POLLS, show_default=True)
def watch(planner, interval, polls):
    """Prints changes and members as they come to pass."""
    known = {}
    for poll in range(polls):
        _, state = request(planner, "show")
        rows = {
            ("change", change["number"]): f"change {change['number']}: {change['end']}, {change['why']}"
            for change in state["history"]
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
        if poll + 1 < polls:
            time.sleep(interval)
