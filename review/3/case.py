"""Storage nodes answer some requests spoilt: noise lies over the header of the value."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import (
    HOST,
    TROUBLE,
    Discovery,
    Gateway,
    Node,
    Record,
    read_value,
    request,
    run_case,
    served,
    settings,
)

RECORD_FILE = Path(__file__).resolve().parent / "record.txt"
"""What was sent, answered and run, of the last run."""
NODES = 3
REQUESTS = 1_500
SPOILT_EVERY = 4
"""One answer in so many is spoilt."""
SEED = 1
WAIT_MS = 2_000
SERVICE_S = 0.002
ARRAY_HEADER = b"*3\r\n"


def spoil(answer: bytes, noise: random.Random) -> bytes:
    """Returns an answer with noise over the length of its value and the end of that line."""
    start = len(ARRAY_HEADER)
    end = answer.index(b"\r\n", start) + 2
    return answer[:start] + bytes(noise.randrange(256) for _ in range(end - start)) + answer[end:]


class Answers:
    """What the storage nodes answered, by request."""

    def __init__(self, record: Record):
        self.record = record
        self.count = 0
        self.noise = random.Random(SEED)
        self.values: dict[str, list[bytes]] = {}
        """The values that a storage node gave for a request."""
        self.spoilt: dict[str, list[bytes]] = {}

    async def behave(self, node: Node, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answers one request, sometimes spoilt."""
        op_id = words[2].decode()
        await asyncio.sleep(SERVICE_S)
        self.count += 1
        value = b"value-of-" + words[2] + b"-at-" + node.name.encode()
        answer = served(value)
        if TROUBLE and self.count % SPOILT_EVERY == 0:
            answer = spoil(answer, self.noise)
            self.spoilt.setdefault(op_id, []).append(answer)
            self.record.write(node.name, f"answers {op_id} spoilt: {answer!r}")
        else:
            self.values.setdefault(op_id, []).append(value)
            self.record.write(node.name, f"answers {op_id} with {value!r}")
        writer.write(answer)
        await writer.drain()


async def ask(gateway: Gateway, record: Record, answers: Answers) -> list[str]:
    """Sends the requests one at a time, and returns the breaks."""
    breaks = []
    reader, writer = await asyncio.open_connection(HOST, gateway.port)
    for number in range(1, REQUESTS + 1):
        is_write = number % 2 == 0
        record.write("client", f"sends {'write' if is_write else 'read'} {number:016x}")
        writer.write(
            request(
                number,
                lane="escritura" if is_write else "lectura",
                body=b"the body" if is_write else None,
                shard=number % NODES,
                wait_ms=WAIT_MS,
            )
        )
        async with asyncio.timeout(WAIT_MS / 1000 + 1):
            kind, value = await read_value(reader)
        op_id = f"{number:016x}"
        record.write("client", f"{op_id} is answered {kind}{value!r}")
        if kind == "$" and value not in answers.values.get(op_id, []):
            name = "write" if is_write else "read"
            breaks.append(
                f"{name} {op_id} was served with {value!r}; no storage node gave that value for it, but what "
                f"came was spoilt: {answers.spoilt.get(op_id)!r}"
            )
    writer.close()
    return breaks


async def case(record: Record, folder: Path) -> list[str]:
    """Plays the case and returns the breaks."""
    answers = Answers(record)
    nodes = [Node(f"s-{shard:08x}", shard, record, answers.behave) for shard in range(NODES)]
    for node in nodes:
        await node.open()
    discovery = Discovery(record, nodes)
    await discovery.open()
    gateway = Gateway(record, folder, discovery, settings())
    try:
        await gateway.start()
        return await ask(gateway, record, answers)
    finally:
        await gateway.stop()


if __name__ == "__main__":
    run_case(RECORD_FILE, case)
