"""What people ask of a planner over its socket: one connection, one order, one answer."""
import asyncio

from rushmux.nodewire import VERSION, Frames, WireFault, frame, messages

WAIT = 5.0               # seconds for an answer


class NotOrdered(Exception):
    """The planner did not do it; the text says why."""


async def order(address, verb, member="") -> messages.Ordered:
    """Sends one order to the planner at (host, port); NotOrdered where it cannot be reached or refuses."""
    writer = None
    try:
        async with asyncio.timeout(WAIT):
            reader, writer = await asyncio.open_connection(*address)
            hello = messages.Hello(version=VERSION, peer="people", start="0")
            writer.write(frame(messages.Message(hello=hello))
                         + frame(messages.Message(order=messages.Order(verb=verb, member=member))))
            frames = Frames()
            while data := await reader.read(1 << 16):
                for message in frames.feed(data):
                    if message.WhichOneof("body") == "ordered":
                        if message.ordered.fault:
                            raise NotOrdered(message.ordered.fault)
                        return message.ordered
            raise NotOrdered("the planner closed the connection")
    except TimeoutError as fault:
        raise NotOrdered(f"no answer within {WAIT:g} s") from fault
    except (OSError, WireFault) as fault:
        raise NotOrdered(str(fault)) from fault
    finally:
        if writer is not None:
            writer.close()


def lines(answer: messages.Ordered) -> list[str]:
    """The fleet as plain text."""
    found = [f"term {answer.term}, list {answer.version}",
             f"{'member':14}{'kind':6}{'cell':>5}  {'zone':6}{'condition':11}{'out':>5}  reason"]
    for row in answer.members:
        cell = str(row.cell) if row.kind == "node" else ""
        found.append(f"{row.member:14}{row.kind:6}{cell:>5}  {row.zone:6}{row.condition:11}{row.out:5}  "
                     f"{row.reason}")
    return found
