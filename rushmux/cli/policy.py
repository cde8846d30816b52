"""`rushmux policy`: commands on the fleet's policy."""

import asyncio
import difflib
import getpass
import json
import time
from typing import Any

import click

from rushmux.cli.fleet import PLANNER, Planners
from rushmux.cli.parameters import load_deployment, new_seed

MAX_POLLS = 100_000
"""Maximum requests of one `watch`."""
POLL_INTERVAL = 0.5
"""Seconds between two requests for the state."""
EXIT_NOT_DECIDED, EXIT_UNDER_WAY = 1, 2
WAIT = click.option("--wait", type=float, default=0.0, help="seconds to wait for the change to end")

State = dict[str, Any]
"""The policy's state, a JSON object from the planner."""


def request(planner: Planners, verb: str, **fields: Any) -> tuple[str, State]:
    """Sends a policy command and returns its result and the policy's state."""
    from rushmux.planner import admin_client
    from rushmux.planner.errors import CommandRejectedError

    try:
        answer = asyncio.run(admin_client.send_policy_command(planner, verb, **fields))
    except CommandRejectedError as error:
        raise click.ClickException(str(error)) from error
    return answer.said, json.loads(answer.state or b"{}")


def run_command(planner: Planners, verb: str, **fields: Any) -> str:
    """Sends a command under a new idempotency key, so that a resend has no effect.

    Prints and returns the result; exits with 1 if the command was refused.
    """
    result, _ = request(planner, verb, client=f"{new_seed(None):012x}", n=1, by=getpass.getuser(), **fields)
    click.echo(result)
    if result.startswith("refused"):
        raise SystemExit(1)
    return result


def format_state(state: State) -> list[str]:
    """Formats the state of the policy and its members as text."""
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


def await_change(planner: Planners, number: int, seconds: float) -> None:
    """Waits for a change to end; exits with 1 if it took effect nowhere, 2 if it has not ended."""
    deadline = time.monotonic() + seconds
    while True:
        _, state = request(planner, "show")
        change = next((change for change in state["history"] if change["number"] == number), None)
        if change is not None:
            if change["end"] == "decided":
                click.echo(f"{number} is decided: {change['why']}")
                return
            click.echo(f"{number} took hold nowhere ({change['end']}): {change['why']}")
            raise SystemExit(EXIT_NOT_DECIDED)
        if time.monotonic() >= deadline:
            click.echo(f"{number} is still under way")
            raise SystemExit(EXIT_UNDER_WAY)
        time.sleep(POLL_INTERVAL)


@click.group()
def policy() -> None:
    """The fleet's policy: lanes, plans, limits and routes, which the planners decide together."""


@policy.command()
@PLANNER
@click.option("--text", is_flag=True, help="print the policy in force as JSON")
def show(planner: Planners, *, text: bool) -> None:
    """Shows what is in force, what is under way, and the policy that each member applies."""
    _, state = request(planner, "show")
    if text:
        click.echo(json.dumps(json.loads(state["force"]["text"]), indent=2, ensure_ascii=False))
    else:
        click.echo("\n".join(format_state(state)))


@policy.command()
@PLANNER
@WAIT
@click.option("--base", type=int, help="refuse the proposal if another number is in force")
@click.argument("file", type=click.Path())
def propose(planner: Planners, *, wait: float, base: int | None, file: str) -> None:
    """Proposes the policy of a deployment file, to be applied by all members or none."""
    from rushmux.settings import policy as documents

    text = documents.serialize(load_deployment(file, explain=True).raw)
    result = run_command(planner, "propose", text=text, base=base)
    if wait:
        await_change(planner, int(result.split()[0]), wait)


@policy.command()
@PLANNER
@WAIT
@click.argument("number", type=int)
def revert(planner: Planners, *, wait: float, number: int) -> None:
    """Proposes an earlier policy again, under a new number."""
    result = run_command(planner, "revert", number=number)
    if wait:
        await_change(planner, int(result.split()[0]), wait)


@policy.command()
@PLANNER
@click.argument("number", type=int)
def withdraw(planner: Planners, *, number: int) -> None:
    """Withdraws a change that is under way, at all members."""
    run_command(planner, "withdraw", number=number)


@policy.command()
@PLANNER
@click.argument("member")
def forget(planner: Planners, *, member: str) -> None:
    """Declares an edge gone for good, so that changes do not wait for the policy it may still apply."""
    run_command(planner, "forget", member=member)


@policy.command()
@PLANNER
def history(planner: Planners) -> None:
    """Lists all changes and how they ended."""
    for change in request(planner, "show")[1]["history"]:
        click.echo(f"{change['number']:>4} {change['end']:10} {change['by']}: {change['why']}")


@policy.command()
@PLANNER
@click.argument("file", type=click.Path(), required=False)
@click.option("--past", type=int, help="compare with an earlier policy that is still kept")
def diff(planner: Planners, *, file: str | None, past: int | None) -> None:
    """Shows what a file, or an earlier policy, would change in the one in force."""
    _, state = request(planner, "show")
    other, name = _other_policy(state, file, past)
    active = state["force"]
    lines = difflib.unified_diff(
        _indented_lines(active["text"]),
        _indented_lines(other),
        f"policy {active['number']}",
        name,
        lineterm="",
    )
    click.echo("\n".join(lines) or "the same")


def _other_policy(state: State, file: str | None, past: int | None) -> tuple[str, str]:
    """Returns the text and name of the policy to compare with."""
    from rushmux.settings import policy as documents

    if past is not None:
        earlier = state["texts"]
        if str(past) not in earlier:
            raise click.ClickException(f"{past} is not kept; there are {', '.join(earlier) or 'none'}")
        return earlier[str(past)], f"policy {past}"
    if file:
        return documents.serialize(load_deployment(file, explain=True).raw), file
    raise click.ClickException("name a file, or --past NUMBER")


def _indented_lines(text: str) -> list[str]:
    """Returns JSON as lines with sorted keys, for a diff."""
    return json.dumps(json.loads(text), indent=1, sort_keys=True, ensure_ascii=False).splitlines()


@policy.command()
@PLANNER
@click.option("--every", "interval", type=click.FloatRange(0.1, 60), default=POLL_INTERVAL, show_default=True)
@click.option("--looks", "polls", type=click.IntRange(1, MAX_POLLS), default=MAX_POLLS, show_default=True)
def watch(planner: Planners, *, interval: float, polls: int) -> None:
    """Prints changes and members' states as they occur."""
    known = {}
    for poll in range(polls):
        _, state = request(planner, "show")
        rows = _watched_rows(state)
        for key, text in rows.items():
            if known.get(key) != text:
                click.echo(text)
        known = rows
        if poll + 1 < polls:
            time.sleep(interval)


def _watched_rows(state: State) -> dict[tuple[str, Any], str]:
    """Returns a line for each change and each member."""
    rows: dict[tuple[str, Any], str] = {
        ("change", change["number"]): f"change {change['number']}: {change['end']}, {change['why']}"
        for change in state["history"]
    }
    if staged := state["staged"]:
        number = staged["number"]
        rows["change", number] = f"change {number}: under way, by {staged['by']}"
    for row in state["members"]:
        joint = f", joint in {row['joint']}" if row["joint"] else ""
        rows["member", row["member"]] = f"{row['member']}: goes by {row['says']}{joint}"
    return rows
