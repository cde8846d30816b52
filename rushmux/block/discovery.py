"""Follows discovery: the whole list once, then a watch that never rests."""
import asyncio

import h11
import orjson

from rushmux.block.members import listing

PATH = "/catalog/members"
WAIT = 1.0               # seconds that a watch may wait: silence is noticed well before changes count as told
SLACK = 0.5              # seconds past that until a silent call is given up
AGAIN = 0.05             # seconds until the next try: within the 200 ms in which a watch goes on
MOST_BYTES = 8 << 20     # of an answer


class Call(asyncio.Protocol):
    """One connection to discovery; asks again as soon as it is answered."""

    def __init__(self, watch):
        self.watch, self.transport, self.timer = watch, None, None
        self.http, self.body = h11.Connection(h11.CLIENT), bytearray()

    def connection_made(self, transport):
        self.transport = transport
        self.ask()

    def ask(self):
        watch, loop = self.watch, self.watch.loop
        target = PATH if watch.version is None else (
            f"{PATH}?after={watch.version}&wait_ms={int(WAIT * 1000)}")
        host = "%s:%d" % watch.address
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))
        self.timer = loop.call_later(WAIT + SLACK, self.lost, "silent")

    def data_received(self, data):
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response) and event.status_code != 200:
                    return self.lost(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MOST_BYTES:
                        return self.lost("an answer too long")
                elif isinstance(event, h11.EndOfMessage):
                    self.answered()
                elif isinstance(event, h11.ConnectionClosed):
                    return self.lost("closed")
        except h11.RemoteProtocolError as fault:
            self.lost(str(fault))

    def answered(self):
        body, self.body = bytes(self.body), bytearray()
        self.timer.cancel()
        try:
            version, whole, members = listing(orjson.loads(body))
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            return self.lost(f"an answer that makes no sense: {fault}")
        if self.watch.call is not self:
            return self.lost("left for another address")
        self.watch.heard(version, whole, members)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.ask()
        else:
            self.lost("closed")

    def connection_lost(self, fault):
        self.lost("closed")

    def lost(self, why):
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.watch.ended(self, why)


class Watch:
    """The watch; `told(whole, members)` hears each answer in order."""

    def __init__(self, loop, address, log, told):
        self.loop, self.address, self.log, self.told = loop, address, log, told
        self.version = self.call = self.task = None
        self.closed = self.down = False

    def start(self):
        if self.task is None and self.call is None and not self.closed:
            self.task = self.loop.create_task(self.dial())

    async def dial(self):
        call = self.call = Call(self)
        try:
            async with asyncio.timeout(WAIT):
                await self.loop.create_connection(lambda: call, *self.address)
            self.task = None
        except (OSError, TimeoutError) as fault:
            self.task = None
            self.ended(call, str(fault) or "no connection")

    def move(self, address):
        """Goes over to another address at once.  The version goes along, so nothing is missed."""
        old, self.address, self.call = self.call, address, None
        if self.task is not None:
            self.task.cancel()
            self.task = None
        if old is not None:
            old.lost("left for another address")
        self.start()

    def heard(self, version, whole, members):
        if self.down:
            self.down = False
            self.log.info("discovery.back", version=version)
        self.version = version
        if whole or members:
            self.told(whole, members)

    def ended(self, call, why):
        if call is not self.call or self.closed:
            return
        self.call = None
        if not self.down:
            self.down = True
            self.log.warning("discovery.lost", why=why)
        self.loop.call_later(AGAIN, self.start)

    def close(self):
        self.closed = True
        if self.task is not None:
            self.task.cancel()
        if self.call is not None:
            self.call.lost("closing")
