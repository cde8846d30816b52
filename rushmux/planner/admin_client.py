"""The client of a planner's admin commands: one connection, one command, one answer."""

import asyncio
from collections.abc import Sequence

import orjson

from rushmux.nodewire import VERSION, FrameReader, WireError, frame, messages
from rushmux.planner import peer_names
from rushmux.planner.errors import CommandRejectedError, PlannerUnavailableError

ANSWER_TIMEOUT = 10.0  # seconds; a planner gives up on a proposal sooner (`proposals.PROPOSAL_TIMEOUT`)
MAX_ROUNDS = 4  # attempts over all planners: a new leader is elected within some three seconds
ROUND_PAUSE = 1.0  # seconds between two rounds
READ_SIZE = 1 << 16  # bytes asked of the socket at once

Address = tuple[str, int]


async def send_fleet_command(
    addresses: Address | Sequence[Address], verb: str, member: str = ""
) -> messages.Ordered:
    """Sends a command on the fleet's members.

    Args:
        addresses: one planner, or all of them: the one that leads answers.
        verb: a `commands.FleetVerb`.
        member: the node that the command is about.

    Returns:
        The members after the command.

    Raises:
        CommandRejectedError: it was refused, or no planner could be reached.
    """
    request = messages.Message(order=messages.Order(verb=verb, member=member))
    return await _request(addresses, request, "ordered")


async def send_policy_command(
    addresses: Address | Sequence[Address], verb: str, **fields
) -> messages.PolicyAnswer:
    """Sends a command on the fleet's policy.

    Args:
        addresses: one planner, or all of them: the one that leads answers.
        verb: a `commands.PolicyVerb`.
        **fields: the command's fields.  `client` and `n` are its idempotency key: a command that is sent
            again with the same key is applied once.

    Returns:
        What came of the command, and the policy's state.

    Raises:
        CommandRejectedError: it was refused, or no planner could be reached.
    """
    request = messages.Message(policy_order=messages.PolicyOrder(verb=verb, order=orjson.dumps(fields)))
    return await _request(addresses, request, "policy_answer")


async def _request(addresses: Address | Sequence[Address], request: messages.Message, answer_kind: str):
    """Returns the answer of the planner that leads, among one or several."""
    if isinstance(addresses[0], str):
        return await _request_one(addresses, request, answer_kind)
    if len(addresses) == 1:
        return await _request_one(addresses[0], request, answer_kind)
    failures = []
    for attempt in range(MAX_ROUNDS):
        if attempt:
            await asyncio.sleep(ROUND_PAUSE)
        failures = []
        for address in addresses:
            try:
                return await _exchange(address, request, answer_kind)
            except PlannerUnavailableError as fault:
                failures.append(f"{address[0]}:{address[1]}: {fault}")
            # Any other rejection is final: another planner must not be asked as if it were undecided.
    raise PlannerUnavailableError("; ".join(failures))


async def _request_one(address: Address, request: messages.Message, answer_kind: str):
    """Returns the answer of a single planner; there is no other to send the command to."""
    try:
        return await _exchange(address, request, answer_kind)
    except PlannerUnavailableError as fault:
        await asyncio.sleep(ROUND_PAUSE)  # slows down a caller that sends it again at once
        raise CommandRejectedError(fault.reason) from fault


async def _exchange(address: Address, request: messages.Message, answer_kind: str):
    """Sends one request to one planner and returns its answer."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address)
            hello = messages.Hello(version=VERSION, peer=peer_names.OPERATOR, start="0")
            writer.write(frame(messages.Message(hello=hello)) + frame(request))
            return await _read_answer(reader, answer_kind)
    except TimeoutError as fault:
        raise PlannerUnavailableError(f"no answer within {ANSWER_TIMEOUT:g} s") from fault
    except (OSError, WireError) as fault:
        raise PlannerUnavailableError(str(fault)) from fault
    finally:
        if writer is not None:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader, answer_kind: str):
    """Reads up to the answer, and raises what it says was wrong."""
    frames = FrameReader()
    while data := await reader.read(READ_SIZE):
        for message in frames.feed(data):
            if message.WhichOneof("body") != answer_kind:
                continue
            answer = getattr(message, answer_kind)
            if answer.fault:
                raise (PlannerUnavailableError if answer.elsewhere else CommandRejectedError)(answer.fault)
            return answer
    raise PlannerUnavailableError("the planner closed the connection")


def format_fleet(answer: messages.Ordered) -> list[str]:
    """Returns the fleet's members as lines of a plain-text table."""
    lines = [
        f"term {answer.term}, list {answer.version}",
        f"{'member':14}{'kind':6}{'cell':>5}  {'zone':6}{'condition':11}{'out':>5}  reason",
    ]
    for row in answer.members:
        cell = str(row.cell) if row.kind == "node" else ""
        lines.append(
            f"{row.member:14}{row.kind:6}{cell:>5}  {row.zone:6}{row.condition:11}{row.out:5}  {row.reason}"
        )
    return lines
