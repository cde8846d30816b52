"""Clients' connections: bytes to checked commands, and answers in the order of a connection's commands."""

import asyncio
import socket
from collections import deque

from rushmux.gateway import commands
from rushmux.resp import Commands, Malformed, error

BACKLOG = 1024  # connections that the system holds until they are accepted: hundreds come at once
ACCEPTS = 16  # connections taken in one turn of the loop: a flood must not starve it
MOST_OWED = 64  # commands of one connection that are not answered; beyond it is not read
UNREAD = 1 << 19  # bytes of answers that a client has not read; beyond it is not served
SILENT = 1.6  # seconds until a connection that sent no whole command is closed: 3 are allowed
UNREAD_TIME = 3.0  # seconds that answers may lie unread: who reads nothing for so long is held for gone
IDLE = 30.0  # seconds after which a connection with nothing open is closed
FULL_IDLE = 2.0  # the same where sockets are short: the least that the platform's page names
LINGER = 0.25  # seconds without a byte after which a lingering close ends
LONGEST_LINGER = 1.0  # seconds that it may take: who sends on and on is cut off
MOST_DISCARDED = 1 << 20  # bytes of one connection that are read and thrown away; then nothing more is read
READ_AHEAD = 1 << 17  # bytes of one connection's commands that wait to be taken: the end of a client that
# sent hundreds at once and went is still seen behind them
MOST_AHEAD = 4 << 20  # the same of all connections: beyond it those that have a full share are not read
GONE_LOOK = 0.05  # seconds between two looks whether a client that is not read has gone: nothing may
# begin for it from 0.1 s after its end on
CLOSE_WAIT = 8  # state of a connection whose client has ended its sending (TCP_INFO)
TO_SPEAK = 0.3  # seconds that a newcomer has at least before another takes its place
SHORT = 0.5  # of the places for clients: sockets are short above it
MARGIN = 0.1  # of the places, past them, for newcomers that are told BUSY and for ends that linger
SWEEP = 0.1  # seconds between two looks at who is silent, idle or does not read
QUIET = 0.02  # seconds without a command after which a connection may end at a stop: who comes
# again at once is on its way for a few milliseconds
MOST_FAULTS = 3  # refused commands of one connection until it is closed
PONG, OK, BUSY = b"+PONG\r\n", b"+OK\r\n", b"-BUSY\r\n"


def after_reading(loop, call, *values):
    """Calls it once everything that stood in a socket by now was read.

    Danger: when the process has stood still, the loop runs its timers before it looks at any socket.
    """
    loop.call_soon(loop.call_soon, call, *values)  # the loop looks at the sockets between the two


class Slot:
    """The place of one command's answer."""

    __slots__ = ("client", "op_id", "reply")

    def __init__(self, client, reply=None):
        self.client, self.reply, self.op_id = client, reply, None

    def answer(self, reply):
        self.reply = reply
        self.client.flush()


class Client(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, listener):
        self.listener, self.transport, self.reader = listener, None, Commands()
        self.owed = deque()  # slots not answered yet, in the order of commands
        self.made_at = self.since = listener.loop.time()  # since: when it last became idle or half-read
        self.spoke = self.asked = self.over = self.settling = False
        self.paused_reading = self.paused_writing = False
        self.lingering = self.discards = False
        self.behind = False  # commands may be here that were not taken
        self.paused_writing_at, self.faults = 0.0, 0
        self.ahead = self.discarded = 0  # bytes that wait to be taken; bytes thrown away
        self.heard_at = 0.0  # when the last of them came

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(high=UNREAD)
        self.listener.joined(self)

    def data_received(self, data):
        if self.over:
            self.discard(len(data))
            return
        # Danger: half a command that grows a byte at a time.  Its time counts from its first byte.
        if not self.reader.partial():
            self.since = self.listener.loop.time()
        self.reader.feed(data)
        self.work()

    def discard(self, size):
        """Bytes behind an error that ends the connection: within a bound they are read and thrown away."""
        self.discarded += size
        self.heard_at = self.listener.loop.time()
        self.flow()

    def work(self):
        """Takes the commands that came, as many as may be owed at a time."""
        wrong, self.behind = None, True
        try:
            while len(self.owed) < MOST_OWED and not self.over and not self.paused_writing:
                words = self.reader.next()
                if words is None:
                    self.behind = False
                    break
                self.spoke, self.since = True, self.listener.loop.time()
                self.owed.append(self.listener.handle(words, self))
        except Malformed as fault:
            wrong = str(fault)
        if wrong is not None:
            self.owed.append(Slot(self, error(f"ERR Protocol error: {wrong}")))
            self.finish(discards=True)
        elif self.faults >= MOST_FAULTS:
            self.finish(discards=True)
        self.flow()
        self.flush()

    def finish(self, discards=False):
        """Nothing more is taken; it ends when what is owed was given.

        `discards`: what still comes is of no use and thrown away, so that the end is no reset and the error
        line is read.  Danger elsewhere: a good command that crosses the end would be read and never answered.
        Left unread, it makes a reset, and its client sends it once more.
        """
        self.over, self.discards = True, discards
        self.reader = Commands()
        self.flow()

    def flow(self):
        """Reads on, or stops reading: danger, commands at full speed grow what is kept.

        Danger of stopping: the end of a client that went stays unseen behind what it sent, and all that it
        asked for is begun for nobody.  So some of what can't be taken yet is read all the same.
        """
        listener, ahead = self.listener, self.reader.held()
        listener.ahead += ahead - self.ahead
        self.ahead = ahead
        if self.over:
            stop = not self.discards or self.discarded > MOST_DISCARDED
        else:
            stop = (self.paused_writing or len(self.owed) >= MOST_OWED) and (
                ahead >= READ_AHEAD or listener.ahead >= MOST_AHEAD
            )
        if stop != self.paused_reading and not self.transport.is_closing():
            self.paused_reading = stop
            listener.unread_clients.pop(self, None)
            if stop:
                listener.stops_reading(self)
            (self.transport.pause_reading if stop else self.transport.resume_reading)()

    def flush(self):
        parts = []
        while self.owed and self.owed[0].reply is not None:
            parts.append(self.owed.popleft().reply)
        if self.transport.is_closing():
            return
        if parts:
            self.transport.write(b"".join(parts))
            self.since = self.listener.loop.time()
        if self.over:
            if not self.owed:
                self.lingering_close()
        elif self.behind and not self.paused_writing and len(self.owed) <= MOST_OWED // 2:
            self.listener.loop.call_soon(self.more)
        elif self.listener.ending and not self.owed:
            self.settle()

    def more(self):
        if not self.over and not self.transport.is_closing():
            self.work()

    def settle(self):
        """At a stop it ends once it was quiet for a while with nothing owed.

        Danger: closed behind its answer, the command of a client that comes again at once is never read.
        """
        if not self.settling:
            self.settling = True
            self.listener.loop.call_later(QUIET, after_reading, self.listener.loop, self.settled)

    def settled(self):
        self.settling = False
        if self.idle() and not self.transport.is_closing():
            rest = QUIET if self.spoke or self.listener.sock is None else TO_SPEAK
            if self.listener.loop.time() - self.since < rest:
                return self.settle()
            self.finish()
            self.lingering_close()

    def lingering_close(self):
        """Sends no more and closes a little later, so that what was sent is read: closed with bytes unread,
        the connection is reset and the error line lost with it.  See `finish` for what comes meanwhile.
        """
        if self.lingering:
            return
        self.lingering = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        now = self.listener.loop.time()
        self.heard_at = now
        self.listener.loop.call_later(LINGER, after_reading, self.listener.loop, self.lingered, now)

    def lingered(self, began):
        """Danger: a large answer that is still being read would be cut off."""
        now = self.listener.loop.time()
        unread = self.transport.get_write_buffer_size() and now < began + UNREAD_TIME
        comes = now - self.heard_at < LINGER and now < began + LONGEST_LINGER and not self.paused_reading
        if (unread or comes) and not self.transport.is_closing():
            self.listener.loop.call_later(LINGER, after_reading, self.listener.loop, self.lingered, began)
        else:
            self.transport.abort()

    def pause_writing(self):
        self.paused_writing, self.paused_writing_at = True, self.listener.loop.time()
        self.flow()

    def resume_writing(self):
        self.paused_writing = False
        self.flow()
        self.listener.loop.call_soon(self.more)

    def eof_received(self):
        # Danger: a client that gives up closes, and what it asked for would be served to nobody.  While
        # answers that it has not read are flushed, the connection is not lost yet.
        self.leave()
        return False

    def leave(self):
        """The client has gone: its operations are told so at once."""
        for slot in self.owed:
            if slot.op_id is not None and slot.reply is None:
                self.listener.left(slot.op_id)
                slot.op_id = None

    def connection_lost(self, fault):
        self.finish()
        self.leave()
        self.owed = deque()
        self.listener.parted(self)

    def has_gone(self) -> bool:
        """Whether the system knows that its client closed or reset, where the connection is not read.

        Danger: a platform that does not tell shows the state of a socket that was never connected; held for a
        reset, good clients would be cut off.  So a reset is known by its error alone.
        """
        try:
            sock = self.transport.get_extra_info("socket")
            return (
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == CLOSE_WAIT
                or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
            )
        except (OSError, AttributeError, IndexError, TypeError):
            return False

    def idle(self):
        return not self.owed and not self.reader.partial() and not self.over

    def look(self, now, rest):
        """What the sweep finds wrong with it; `rest`: the seconds that it may be idle."""
        if self.transport.is_closing() or self.over:
            return
        if self.paused_writing and now - self.paused_writing_at > UNREAD_TIME:
            self.transport.abort()
        elif (
            not self.owed
            and not self.behind
            and (not self.spoke or self.reader.partial())
            and now - (self.since if self.spoke else self.made_at) > SILENT
        ):
            self.listener.silent += 1
            self.owed.append(Slot(self, error("ERR no whole command came in time")))
            self.finish()
            self.flush()
        elif self.idle() and now - self.since > rest and not self.transport.get_write_buffer_size():
            # Its socket was read just now and its last answer is long gone: nothing is cut off.
            self.transport.close()


class Listener:
    """All clients' connections, `most` at a time.  `take(command, slot)` has an operation done, and
    `left(op_id)` is told of one whose client went away.

    Whatever the system has accepted is owed an answer as soon as a whole command was written to it, so
    each connection has one owner from the system's queue on: `coming` until it is joined, then `clients`.
    """

    def __init__(self, loop, start, most, take, left):
        self.loop, self.start, self.most, self.take, self.left = loop, start, most, take, left
        self.clients, self.coming, self.ending, self.sock = {}, {}, False, None
        self.margin = max(2, int(most * MARGIN))
        self.held_back = False  # newcomers wait in the system's queue until a place is free
        self.unread_clients = {}  # those whose sockets are not read
        self.ahead = 0  # bytes of commands that wait to be taken
        self.turned_away = self.bad = self.silent = self.taken = 0  # counts for the log

    async def open(self, host, port):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind((host, port))
        self.sock.listen(BACKLOG)
        self.accept_on()
        self.loop.call_later(SWEEP, after_reading, self.loop, self.sweep)

    def accept_on(self):
        self.held_back = False
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)

    def full(self) -> bool:
        """Danger: newcomers, those on their way counted, take the descriptors that nodes and discovery
        need.  Harm: they wait in the system's queue.
        """
        return len(self.clients) + len(self.coming) >= self.most + self.margin

    def accept(self, most=ACCEPTS):
        """Takes what waits in the system's queue; whether it was emptied."""
        for _ in range(most):
            if self.full() and most == ACCEPTS:
                self.loop.remove_reader(self.sock)
                self.held_back = True
                return False
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except ConnectionAbortedError:
                continue
            except OSError as fault:
                # Danger: out of descriptors, and the queue would be asked again at full speed.
                self.loop.remove_reader(self.sock)
                self.loop.call_later(SWEEP, self.accept_on)
                self.loop.call_exception_handler(
                    {"message": "no connection can be taken", "exception": fault}
                )
                return False
            sock.setblocking(False)
            task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: Client(self), sock))
            self.coming[task] = True
            task.add_done_callback(self.came)
        return False

    def came(self, task):
        del self.coming[task]
        if not task.cancelled():
            task.exception()  # its client went away before it was joined
        self.free()

    def joined(self, client):
        self.clients[client] = True
        if self.ending:
            client.settle()
        if len(self.clients) > self.most:
            after_reading(self.loop, self.evict)

    def parted(self, client):
        self.clients.pop(client, None)
        self.unread_clients.pop(client, None)
        self.free()

    def free(self):
        if self.held_back and not self.full():
            self.accept_on()

    def evict(self):
        """Sockets are short: who has not spoken for a while goes first, then who never asked for an
        operation, then who is idle for longest (past what the platform grants), then who has not spoken.
        Where nobody can go, newcomers stay for the moment: what they ask gets `-BUSY` and their end.

        Danger: a crowd that greets and stays holds every place, and the usual clients find none.  Danger:
        a connection closed over a command that was not read loses it; so the sockets were read just now.
        """
        if len(self.clients) <= self.most:
            return
        now = self.loop.time()
        others = [one for one in self.clients if not one.over and not one.transport.is_closing()]
        silent = next((one for one in others if not one.spoke and not one.reader.partial()), None)
        idle = min(
            (
                one
                for one in others
                if one.spoke and one.idle() and (not one.asked or now - one.since > FULL_IDLE)
            ),
            key=lambda one: (one.asked, one.since),
            default=None,
        )
        if silent is not None and now - silent.made_at < TO_SPEAK:
            silent = None
        one = silent or idle
        if one is not None:
            self.turned_away += 1
            del self.clients[one]
            one.transport.abort()
            self.free()

    def stops_reading(self, client):
        """A client is not read: its end has to be asked for."""
        if not self.unread_clients:
            self.loop.call_later(GONE_LOOK, self.look_for_gone)
        self.unread_clients[client] = True

    def look_for_gone(self):
        for client in list(self.unread_clients):
            if not client.lingering and client.has_gone():
                client.leave()
                client.transport.abort()
        if self.unread_clients:
            self.loop.call_later(GONE_LOOK, self.look_for_gone)

    def sweep(self):
        now = self.loop.time()
        # Danger: clients that ask once and stay hold every place.  Room is made before the last is taken.
        rest = FULL_IDLE if len(self.clients) > self.most * SHORT else IDLE
        for client in list(self.clients):
            client.look(now, rest)
        for _ in range(len(self.clients) - self.most):
            self.evict()
        self.loop.call_later(SWEEP, after_reading, self.loop, self.sweep)

    def handle(self, words, client) -> Slot:
        """The place of one command's answer, which may be there at once."""
        name = words[0].upper()
        if name in (commands.READ, commands.WRITE):
            slot, newcomer, client.asked = Slot(client), not client.asked, True
            if newcomer and len(self.clients) > self.most:
                self.turned_away += 1
                client.finish()
                return Slot(client, BUSY)
            try:
                self.take(commands.check(words, self.start), slot)
                self.taken += 1
            except commands.Refused as fault:
                self.bad += 1
                client.faults += 1
                slot.reply = error(f"ERR {fault}")
            return slot
        if name == b"PING":
            return Slot(client, PONG)
        if name in (b"CLIENT", b"SELECT"):
            return Slot(client, OK)
        client.faults += name != b"HELLO"
        return Slot(client, error("ERR unknown command"))

    def end(self):
        """From now on a connection ends when it was quiet with nothing owed; what comes is still taken."""
        self.ending = True
        for client in self.clients:
            client.settle()

    def cut(self):
        """Reads no more than stands in the sockets; each connection ends with what it is owed."""
        after_reading(self.loop, self.part_all)

    def part_all(self):
        for client in list(self.clients):
            if not client.over and not client.transport.is_closing():
                client.finish()
                client.flush()

    def done(self) -> bool:
        """Whether every connection has ended, and none waits in the system's queue; then it is closed."""
        if self.clients or self.coming or (self.sock is not None and not (self.accept() and not self.coming)):
            return False
        self.close()
        return True

    def close(self):
        """Takes no more connections.

        Danger: the system resets what it accepted and the program did not, with the commands on it.
        """
        if self.sock is not None:
            self.accept(BACKLOG)
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
