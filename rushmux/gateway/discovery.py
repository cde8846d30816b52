"""Follows discovery: the whole list once, then a watch that never rests."""

import asyncio

import h11
import orjson

from rushmux.gateway.endpoints import listing
from rushmux.scheduling.interface import EndpointState

PATH = "/catalog/members"
# Whatever a call met, a change has to be here 6 s after discovery had it and could be reached.  The worst
# that can follow one another: an answer that trickles and was begun before the change (ANSWER), a dial that
# nobody takes (DIAL), an answer that trickles again (ANSWER), AGAIN before each: 5.6 s.
WAIT = 1.0  # seconds that a watch may wait: silence is noticed well before changes count as told
SLACK = 0.5  # seconds past that until a call with no byte of an answer is given up
ANSWER = 2.5  # seconds from asking until an answer has to be whole
DIAL = 0.5  # seconds for a connection to come up: the agent is on this machine
AGAIN = 0.05  # seconds until the next try: within the 200 ms in which a watch goes on
MOST_BYTES = 8 << 20  # of an answer
MOST_LEAVING = 4  # calls to former addresses whose answers may still come: SIGHUP may come often
ANEW = range(400, 500)  # statuses that refuse what was asked: the version is not known there


class Call(asyncio.Protocol):
    """One connection to discovery; asks again as soon as it is answered."""

    def __init__(self, watch):
        self.watch, self.address, self.transport, self.timer = watch, watch.address, None, None
        self.http, self.body = h11.Connection(h11.CLIENT), bytearray()
        self.asked_at, self.began = 0.0, False  # began: a part of the answer is here
        self.over = False  # discovery has ended its sending

    def connection_made(self, transport):
        self.transport = transport
        self.ask()

    def ask(self):
        watch, loop = self.watch, self.watch.loop
        target = (
            PATH if watch.version is None else (f"{PATH}?after={watch.version}&wait_ms={int(WAIT * 1000)}")
        )
        host = "%s:%d" % self.address
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))
        self.asked_at, self.began = loop.time(), False
        self.timer = loop.call_later(WAIT + SLACK, self.lost, "silent")

    def data_received(self, data):
        if not self.began:
            self.began = True
            self.timer.cancel()
            self.timer = self.watch.loop.call_at(self.asked_at + ANSWER, self.lost, "an answer that trickles")
        self.take(data)

    def eof_received(self):
        # An answer with neither length nor chunks ends so; a reset is no end, and comes as a loss only.
        self.over = True
        self.take(b"")

    def take(self, data):
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response) and event.status_code != 200:
                    # Danger: asked for changes after a version that is not known there, over and over.
                    if event.status_code in ANEW and self.watch.call is self:
                        self.watch.version = None
                    return self.lost(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MOST_BYTES:
                        return self.lost("an answer too long")
                elif isinstance(event, h11.EndOfMessage):
                    if not self.answered():
                        return None
                elif isinstance(event, h11.ConnectionClosed):
                    return self.lost("closed")
        except h11.RemoteProtocolError as fault:
            self.lost(str(fault))

    def answered(self) -> bool:
        """Takes a whole answer in; whether the call goes on."""
        body, self.body = bytes(self.body), bytearray()
        self.timer.cancel()
        try:
            found = listing(orjson.loads(body))
        except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as fault:
            self.lost(f"an answer that makes no sense: {fault}")
            return False
        self.watch.heard(self, *found)
        if (
            self.watch.call is self
            and not self.over
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
        ):
            self.http.start_next_cycle()
            self.ask()
            return True
        self.lost("closed", whole=True)
        return False

    def connection_lost(self, fault):
        self.lost("closed")

    def lost(self, why, whole=False):
        """It ends; `whole`: behind an answer, in good order."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.watch.ended(self, why, whole)


class Watch:
    """The watch; `told(whole, members)` hears each answer in order.  `known`: rows in force before."""

    def __init__(self, loop, address, log, told, known=()):
        self.loop, self.address, self.log, self.told = loop, address, log, told
        self.version = self.call = self.task = None
        self.closed = self.down = False
        self.rows = {row.node: row for row in known}  # as last told: what a bad row leaves in force
        self.leaving = {}  # calls to former addresses, the oldest first
        self.first = loop.create_future()  # done when discovery was heard

    def start(self):
        if self.task is None and self.call is None and not self.closed:
            self.task = self.loop.create_task(self.dial())

    async def dial(self):
        call = self.call = Call(self)
        try:
            async with asyncio.timeout(DIAL):
                await self.loop.create_connection(lambda: call, *self.address)
            self.task = None
        except (OSError, TimeoutError, ValueError) as fault:  # ValueError: what can't be an address
            self.task = None
            self.ended(call, str(fault) or "no connection")

    def move(self, address):
        """Goes over to another address at once.  The version goes along, so nothing is missed.

        Danger: an answer of the former address is on its way, which counts as told.  It is listened to
        until the new one has answered.
        """
        old, self.address, self.call = self.call, address, None
        if self.task is not None:
            self.task.cancel()
            self.task = None
        elif old is not None:
            self.leaving[old] = True
            while len(self.leaving) > MOST_LEAVING:
                next(iter(self.leaving)).lost("left for another address")
        self.start()

    def heard(self, call, version, whole, members, refused):
        """An answer; `refused`: the rows that made no sense, as id or None and the reason."""
        ours = self.version
        if call is not self.call and (call not in self.leaving or (ours is not None and version <= ours)):
            return
        if refused:
            # Danger: one bad row, and the changes beside it would not be heard of for as long as it stands.
            self.log.warning("list.rows_refused", count=len(refused), node=refused[0][0], why=refused[0][1])
            members += [self.rows[node] for node, _ in refused if whole and node in self.rows]
        if self.down:
            self.down = False
            self.log.info("discovery.back", version=version)
        if whole:
            self.rows = {}
        self.rows.update((row.node, row) for row in members)
        for row in members:
            if row.state == EndpointState.REMOVED:
                del self.rows[row.node]
        if whole or members:
            self.told(whole, members)
        # Danger: discovery began to count anew, and changes since then would never be newer than ours.
        self.version = version if whole or ours is None or version >= ours else None
        if call is self.call:
            for old in list(self.leaving):
                old.lost("left for another address")
        if not self.first.done():
            self.first.set_result(None)

    def ended(self, call, why, whole=False):
        self.leaving.pop(call, None)
        if call is not self.call or self.closed:
            return
        self.call = None
        if not self.down and not whole:
            self.down = True
            self.log.warning("discovery.lost", why=why)
        self.loop.call_later(AGAIN, self.start)

    def close(self):
        self.closed = True
        if self.task is not None:
            self.task.cancel()
        for call in [*self.leaving, *filter(None, (self.call,))]:
            call.lost("closing")
