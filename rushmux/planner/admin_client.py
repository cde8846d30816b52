"""Client for a planner's admin commands: one connection, one command, one answer."""

import asyncio
from collections.abc import Sequence

import orjson

from rushmux.nodewire import VERSION, FrameReader, WireError, frame, messages
from rushmux.planner import peer_names
from rushmux.planner.errors import CommandRejectedError, PlannerUnavailableError

ANSWER_TIMEOUT = 10.0  # seconds; longer than a planner's `proposals.PROPOSAL_TIMEOUT`
MAX_ROUNDS = 4  # each tries all planners; electing a new leader takes about three seconds
ROUND_PAUSE = 1.0  # seconds between rounds
READ_SIZE = 1 << 16  # bytes per read from a socket

Address = tuple[str, int]


async def send_fleet_command(
    addresses: Address | Sequence[Address], verb: str, member: str = ""
) -> messages.Ordered:
    """Sends a command about the fleet's members.

    Args:
        addresses: One planner, or all of them; the leader answers.
        verb: A `commands.FleetVerb`.
        member: The node that the command applies to.

    Returns:
        The members after the command.

    Raises:
        CommandRejectedError: The command was refused, or no planner could be reached.
    """
    request = messages.Message(order=messages.Order(verb=verb, member=member))
    return await _request(addresses, request, "ordered")


async def send_policy_command(
    addresses: Address | Sequence[Address], verb: str, **fields
) -> messages.PolicyAnswer:
    """Sends a command about the fleet's policy.

    Args:
        addresses: One planner, or all of them; the leader answers.
        verb: A `commands.PolicyVerb`.
        **fields: The command's fields.  `client` and `n` are its idempotency key: a command sent again with
            the same key is applied once.

    Returns:
        The command's result, and the policy's state.

    Raises:
        CommandRejectedError: The command was refused, or no planner could be reached.
    """
    request = messages.Message(policy_order=messages.PolicyOrder(verb=verb, order=orjson.dumps(fields)))
    return await _request(addresses, request, "policy_answer")


async def _request(addresses: Address | Sequence[Address], request: messages.Message, answer_kind: str):
    """Returns the answer of the leader among one or several planners."""
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
            except PlannerUnavailableError as error:
                failures.append(f"{address[0]}:{address[1]}: {error}")
            # Any other rejection is final, so no other planner is asked.
    raise PlannerUnavailableError("; ".join(failures))


async def _request_one(address: Address, request: messages.Message, answer_kind: str):
    """Returns the answer of a fleet's only planner."""
    try:
        return await _exchange(address, request, answer_kind)
    except PlannerUnavailableError as error:
        await asyncio.sleep(ROUND_PAUSE)  # slows down callers that retry immediately
        raise CommandRejectedError(error.reason) from error


async def _exchange(address: Address, request: messages.Message, answer_kind: str):
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address)
            hello = messages.Hello(version=VERSION, peer=peer_names.OPERATOR, start="0")
            writer.write(frame(messages.Message(hello=hello)) + frame(request))
            return await _read_answer(reader, answer_kind)
    except TimeoutError as error:
        raise PlannerUnavailableError(f"no answer within {ANSWER_TIMEOUT:g} s") from error
    except (OSError, WireError) as error:
        raise PlannerUnavailableError(str(error)) from error
    finally:
        if writer is not None:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader, answer_kind: str):
    """Returns the answer, or raises the error that it reports."""
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
