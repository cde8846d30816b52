"""What people ask of a planner over its socket: one connection, one order, one answer."""

import asyncio

import orjson

from rushmux.nodewire import VERSION, Frames, WireFault, frame, messages

WAIT = 10.0  # seconds for an answer: an order is decided within eight, or it is said not to be
AGAIN = 4  # rounds over all planners: one is chosen anew within three seconds or so
PAUSE = 1.0  # seconds between two


class NotOrdered(Exception):
    """The planner did not do it; the text says why."""


class Elsewhere(NotOrdered):
    """This planner gave no answer, does not lead, or does not know whether it was decided: the same order,
    under the same name, may go to another.
    """


async def order(address, verb, member="") -> messages.Ordered:
    """Sends one order to the planner at (host, port), or to those of several that takes it; NotOrdered where
    none can be reached, or it is refused.
    """
    return await one_of(address, messages.Message(order=messages.Order(verb=verb, member=member)), "ordered")


async def policy(addresses, verb, **order) -> messages.PolicyAnswer:
    """Asks about the fleet's policy.  `client` and `n` in an order name it: asked again, it is done once."""
    asked = messages.PolicyOrder(verb=verb, order=orjson.dumps(order))
    return await one_of(addresses, messages.Message(policy_order=asked), "policy_answer")


async def one_of(addresses, asked, kind):
    """The answer of the planner that leads, among one or several."""
    addresses = [addresses] if isinstance(addresses[0], str) else list(addresses)
    for again in range(AGAIN if len(addresses) > 1 else 1):
        faults = []
        for address in addresses:
            try:
                return await exchange(address, asked, kind)
            except NotOrdered as fault:
                faults.append(str(fault) if len(addresses) == 1 else f"{address[0]}:{address[1]}: {fault}")
                # Danger: what one planner refused another must not be asked for, as if it were undecided.
                if not isinstance(fault, Elsewhere):
                    raise
        await asyncio.sleep(PAUSE if again + 1 < AGAIN else 0)
    raise (NotOrdered if len(addresses) == 1 else Elsewhere)("; ".join(faults))


async def exchange(address, asked, kind):
    """Sends one message to one planner and gives its answer of a kind."""
    writer = None
    try:
        async with asyncio.timeout(WAIT):
            reader, writer = await asyncio.open_connection(*address)
            hello = messages.Hello(version=VERSION, peer="people", start="0")
            writer.write(frame(messages.Message(hello=hello)) + frame(asked))
            frames = Frames()
            while data := await reader.read(1 << 16):
                for message in frames.feed(data):
                    if message.WhichOneof("body") == kind:
                        answer = getattr(message, kind)
                        if answer.fault:
                            raise (Elsewhere if answer.elsewhere else NotOrdered)(answer.fault)
                        return answer
            raise Elsewhere("the planner closed the connection")
    except TimeoutError as fault:
        raise Elsewhere(f"no answer within {WAIT:g} s") from fault
    except (OSError, WireFault) as fault:
        raise Elsewhere(str(fault)) from fault
    finally:
        if writer is not None:
            writer.close()


def lines(answer: messages.Ordered) -> list[str]:
    """The fleet as plain text."""
    found = [
        f"term {answer.term}, list {answer.version}",
        f"{'member':14}{'kind':6}{'cell':>5}  {'zone':6}{'condition':11}{'out':>5}  reason",
    ]
    for row in answer.members:
        cell = str(row.cell) if row.kind == "node" else ""
        found.append(
            f"{row.member:14}{row.kind:6}{cell:>5}  {row.zone:6}{row.condition:11}{row.out:5}  {row.reason}"
        )
    return found
