"""Stand-ins for the platform: storage nodes that count, discovery, a client, and a configuration.

What a node does with a command is told by `plays`, a function of its words that gives steps: bytes to
send, seconds to wait, "close" or "hang".
"""

import asyncio
import json
import socket
import struct

from rushmux.resp import CommandReader, ReplyReader, encode_bulk, encode_command

NS = 1_000_000  # nanoseconds in a millisecond


def served(value=b"data", used=b"$-1\r\n", load=b"$-1\r\n") -> bytes:
    """A good answer."""
    return b"*3\r\n" + encode_bulk(value) + used + load


def of(words, name) -> str:
    """A value of a command's list."""
    return dict(part.split(b"=") for part in words[3].split(b","))[name.encode()].decode()


class _Open(asyncio.Protocol):
    def __init__(self, node):
        self.node, self.reader, self.transport, self.task = node, CommandReader(), None, None

    def connection_made(self, transport):
        self.transport = transport
        self.node.connections[self] = True
        self.node.opened += 1

    def data_received(self, data):
        self.reader.receive_data(data)
        while (words := self.reader.next_command()) is not None:
            self.node.got.append(words)
            self.task = asyncio.ensure_future(self.play(words))

    async def play(self, words):
        self.node.running += 1
        self.node.most = max(self.node.most, self.node.running)
        try:
            for step in self.node.plays(words):
                if step == "close":
                    self.transport.abort()
                elif step == "hang":
                    await asyncio.sleep(60)
                elif isinstance(step, bytes):
                    self.transport.write(step)
                else:
                    await asyncio.sleep(step)
        finally:
            self.node.running -= 1

    def connection_lost(self, fault):
        self.node.connections.pop(self, None)
        if self.task is not None:
            self.task.cancel()  # a node stops what its gateway gave up


class Node:
    """A storage node on loopback."""

    def __init__(self, plays=lambda words: [served()]):
        self.plays, self.got, self.connections = plays, [], {}
        self.running = self.most = self.opened = self.port = 0
        self.server = None

    async def open(self, port=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _Open(self), "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, name, cell, state="up", started=0):
        """Its row in discovery's list."""
        return {
            "id": name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "a",
            "kind": "m",
            "cell": cell,
            "state": state,
            "weight": 1.0,
            "started_ms": started,
        }

    def close(self):
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class Discovery:
    """Discovery on loopback: the whole list, changes to who waits for them, and its failures."""

    def __init__(self):
        self.version, self.rows, self.changes, self.calls = 1, {}, [], []
        self.silent, self.broken, self.indent, self.port = False, None, None, 0
        self.plays = None  # a function of a target and an answer's text that gives steps, as a
        # node's; besides "reset" and events, which are waited for
        self.server, self.moved = None, asyncio.Event()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, *rows):
        self.version += 1
        for row in rows:
            self.rows[row["id"]] = row
            self.changes.append((self.version, row))
            if row["state"] == "removed":
                del self.rows[row["id"]]
        self.moved.set()
        self.moved = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split()[1].decode()
                self.calls.append((asyncio.get_running_loop().time(), target))
                while self.silent:
                    await asyncio.sleep(0.01)
                body = await self.body(target)
                if self.plays is None:
                    writer.write(self.answer(body))
                elif not await self.play(self.plays(target, json.dumps(body).encode()), writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def play(self, steps, writer) -> bool:
        """Plays an answer's steps; whether the connection goes on."""
        for step in steps:
            if step == "reset":
                writer.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                writer.transport.abort()
                return False
            if step == "close":
                return False
            if isinstance(step, asyncio.Event):
                await step.wait()
            elif isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        return True

    async def body(self, target):
        asked = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "after" not in asked:
            return {"version": self.version, "full": True, "servers": list(self.rows.values())}
        after = int(asked["after"])
        if after == self.version:
            try:
                await asyncio.wait_for(self.moved.wait(), int(asked["wait_ms"]) / 1000)
            except TimeoutError:
                pass
        rows = [row for version, row in self.changes if version > after]
        return {"version": self.version, "full": False, "servers": rows}

    def answer(self, body):
        text = self.broken if self.broken is not None else json.dumps(body, indent=self.indent).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)

    def close(self):
        self.server.close()


class Client:
    """A client's connection."""

    def __init__(self):
        self.reader = self.writer = None
        self.replies, self.reset = ReplyReader(), False  # reset: whether it ended so, and not in order
        self.replies_seen = 0

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    def send(self, *words):
        self.writer.write(encode_command(words))

    async def reply(self, within=5.0):
        """The next reply, or None where the connection ended."""
        async with asyncio.timeout(within):
            while (reply := self.replies.next_reply()) is None:
                try:
                    data = await self.reader.read(65_536)
                except ConnectionError:
                    self.reset = True
                    return None
                if not data:
                    return None
                self.replies.receive_data(data)
            self.replies_seen += 1
            return reply

    async def ask(self, *words, within=5.0):
        self.send(*words)
        return await self.reply(within)

    def close(self):
        self.writer.close()


def read(number, cell=0, left=900, lane="read", plan="base", volume=1, units=1) -> list[bytes]:
    """A usual read."""
    what = f"c={lane},t={plan},d={left},volume={volume:016x},units={units},shard={cell},hosts=1"
    return [b"BLK.READ", b"%016x" % (number + 4096), b"%016x" % number, what.encode()]


def write(number, cell=0, left=900, body=b"body") -> list[bytes]:
    """A usual write."""
    what = f"c=write,t=base,d={left},k={number:016x},volume={1:016x},units=1,shard={cell},hosts=1"
    return [b"BLK.WRITE", b"%016x" % (number + 4096), b"%016x" % number, what.encode(), body]


def settings(plan=None, hard_stop=1_000, aim=400, window=None, gateways=3, shards=4, **limits) -> dict:
    """Settings in the form of the simulator's first message, with times that suit a test; `hard_stop` and
    `aim` of both lanes and `window` of the referenced one in ms.
    """
    return {
        "Classes": [
            {"Name": "read", "Aim": aim * NS, "Deadline": hard_stop * NS, "Worth": 3, "Idempotency": "safe"},
            {
                "Name": "write",
                "Aim": aim * NS,
                "Deadline": hard_stop * NS,
                "Worth": 2,
                "Idempotency": "keyed",
                "Group": "cell",
                "Window": (window or max(3_000, hard_stop)) * NS,
            },
        ],
        "Grades": [
            {
                "Name": "base",
                "Nominal": 1_000,
                "FloorRate": 500,
                "NeverOver": 0,
                "CapDepth": 0,
                "Tolerance": 0,
                "Parts": 1,
                "WorthFactor": 1,
                **(plan or {}),
            }
        ],
        "Rules": {
            "AskWithin": 9_000 * NS,
            "OverloadFor": 1_000 * NS,
            "FallMultiple": 3,
            "StartCapacity": 0.2,
            "WarmWithin": 3_000 * NS,
            "StopSendingWithin": 250 * NS,
        },
        "Limits": {
            "MaxAttempts": 3,
            "RetryAfter": False,
            "MaxRetryAfter": 0,
            "MayProbe": False,
            "MostHeld": 500,
            "DialTimeout": 250 * NS,
            "ConnIdle": 4_000 * NS,
            "Cancel": True,
            **limits,
        },
        "Extra": {
            "UnitMean": 2,
            "MostUnits": 8,
            "ColdUnits": 20,
            "UsePeriod": 1_000 * NS,
            "SlotsTotal": shards,
            "ChangesData": [False, True],
            "SaysOthers": False,
        },
        "Report": {"How": "answers", "Columns": ["outstanding"]},
        "ReplicasOfMe": gateways,
        "Period": 2 * NS,
        "Discovery": "push",
        "ClientHabits": {"MarksRetry": False},
    }


def configuration(discovery, known, listen=0, sockets=256, **limits) -> dict:
    """What a gateway finds in its file."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen or 1}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": sockets},
        "known": {"version": 1, "full": True, "servers": known},
        "settings": settings(**limits),
    }
