"""Carries the votes of several planners: one connection to each of the others, and what comes of it.

`election` decides; this asks, answers and says when this planner begins and ends to lead.
"""
import asyncio
from typing import Callable

from rushmux.nodewire import VERSION, Frames, WireFault, frame, messages
from rushmux.fleet.election import Ask, Elector, Vote

LOOK = 0.1               # seconds between two looks
AGAIN = 0.3              # seconds until another planner is dialled again
MOST_BUFFERED = 1 << 16  # bytes for a planner that reads nothing: more are not written


def orders_of(message) -> tuple[int, tuple[str, ...]]:
    return message.version, tuple(message.drained)


def _orders(orders):
    return messages.Orders(version=orders[0], drained=orders[1])


class Voting:
    """This planner among several.  `changed(leads)` hears of the begin and the end of its leadership."""

    def __init__(self, number: int, addresses, chance, log, changed: Callable):
        self.number, self.addresses, self.log, self.changed = number, addresses, log, changed
        self.loop = asyncio.get_running_loop()
        self.elector = Elector(number, len(addresses), self.loop.time(), chance)
        self.writers, self.led, self.tasks = {}, False, []

    def start(self):
        others = [number for number in range(len(self.addresses)) if number != self.number]
        self.tasks = [self.loop.create_task(self.live(number)) for number in others]
        self.tasks.append(self.loop.create_task(self.look()))

    def close(self):
        for task in self.tasks:
            task.cancel()

    @property
    def leads(self) -> bool:
        """At this moment, by its own clock."""
        return self.elector.leads(self.loop.time())

    async def look(self):
        while True:
            self.judge()
            ask = self.elector.look(self.loop.time())
            if ask is not None:
                message = frame(messages.Message(candidacy=messages.Candidacy(
                    planner=ask.planner, term=ask.term, number=ask.number, orders=_orders(ask.orders))))
                for writer in self.writers.values():
                    if writer.transport.get_write_buffer_size() <= MOST_BUFFERED:
                        writer.write(message)
            await asyncio.sleep(LOOK)

    def judge(self):
        leads = self.leads
        if leads != self.led:
            self.led = leads
            self.log.info("planner.leads" if leads else "planner.follows", term=self.elector.term)
            self.changed(leads)

    async def live(self, number):
        """Keeps a connection to another planner and hears its votes."""
        while True:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*self.addresses[number])
                hello = messages.Hello(version=VERSION, peer=f"planner{self.number}", start="0")
                writer.write(frame(messages.Message(hello=hello)))
                self.writers[number], frames = writer, Frames()
                while data := await reader.read(1 << 16):
                    for message in frames.feed(data):
                        if message.WhichOneof("body") == "ballot":
                            self.ballot(message.ballot)
            except (OSError, WireFault):
                pass
            finally:
                self.writers.pop(number, None)
                if writer is not None:
                    writer.close()
            await asyncio.sleep(AGAIN)

    def ballot(self, body):
        self.elector.told(self.loop.time(), Vote(body.voter, body.planner, body.term, body.number, body.given,
                                                 body.known, orders_of(body.orders)))
        self.judge()

    def candidacy(self, peer, body):
        """Another planner asks for this one's vote."""
        if not body.planner < len(self.addresses) or body.planner == self.number:
            raise WireFault(f"there is no planner {body.planner} to vote for")
        vote = self.elector.asks(self.loop.time(), Ask(body.planner, body.term, body.number,
                                                       orders_of(body.orders)))
        peer.send(ballot=messages.Ballot(
            voter=vote.voter, planner=vote.planner, term=vote.term, number=vote.number, given=vote.given,
            known=vote.known, orders=_orders(vote.orders)))
