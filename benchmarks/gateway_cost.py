"""What the gateway costs: reads through an edge against a client that talks to the node directly.

    python benchmarks/gateway_cost.py [--sessions 8] [--seconds 3] [--rounds 5] [--profile FILE]

One node whose work takes next to no time, one edge, and the same 4 KiB object read over and over by
sessions that each keep a few reads out.  The two ways take turns; what counts is their ratio.
"""

import argparse
import asyncio
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from rushmux.nodewire import VERSION, FrameReader, frame, messages
from rushmux.settings import deployment
from rushmux.sftp import packets as sftp
from rushmux.standins.processes import ProcessFleet

SIZE = 4_096  # bytes of a read
OUT = 4  # reads that a session keeps out


async def through_edge(fleet, sessions, seconds, times):
    """Reads by SFTP; how many came back."""
    loop = asyncio.get_running_loop()
    clients = [await fleet.client(0) for _ in range(sessions)]
    handles = [await client.open("/limon/file", sftp.READ) for client in clients]
    until, count = loop.time() + seconds, 0

    async def one(client, handle):
        nonlocal count
        while loop.time() < until:
            begun = loop.time()
            await client.ask(sftp.Read, handle, 0, SIZE)
            times.append(loop.time() - begun)
            count += 1

    await asyncio.gather(
        *(one(client, handle) for client, handle in zip(clients, handles, strict=True) for _ in range(OUT))
    )
    for client in clients:
        await client.close()
    return count


async def directly(fleet, name, sessions, seconds, times):
    """Reads from the node by its own protocol; how many came back."""
    loop = asyncio.get_running_loop()
    until, count = loop.time() + seconds, 0

    async def one(number):
        nonlocal count
        reader, writer = await asyncio.open_connection(*fleet.nodes["node0"].address)
        writer.write(frame(messages.Message(hello=messages.Hello(version=VERSION, peer="direct", start="0"))))
        frames, waiting, corr = FrameReader(), {}, 0

        def send():
            nonlocal corr
            corr += 1
            waiting[corr] = loop.time()
            writer.write(
                frame(
                    messages.Message(
                        execute=messages.Execute(
                            corr=corr,
                            op=f"direct.{number}.{corr}/-",
                            volume="limon",
                            lane="lectura",
                            key=name,
                            units=1,
                            time_out=30_000,
                            read=messages.ReadObject(object=name, length=SIZE),
                        )
                    )
                )
            )

        for _ in range(OUT):
            send()
        while loop.time() < until:
            for message in frames.feed(await reader.read(1 << 16)):
                if message.WhichOneof("body") == "outcome":
                    times.append(loop.time() - waiting.pop(message.outcome.corr))
                    count += 1
                    send()
        writer.close()

    await asyncio.gather(*(one(number) for number in range(sessions)))
    return count


def at(times, share):
    """The time that a share of the times do not exceed, ms."""
    return sorted(times)[int(share * (len(times) - 1))] * 1_000


async def measure(words, folder):
    """Measures an edge and the node alone by turns, and prints both."""
    raw = json.loads(Path(deployment.__file__).with_name("example.json").read_text())
    raw["fleet"]["gateways"] = 1
    file = Path(folder) / "deployment.json"
    file.write_text(json.dumps(raw))
    fleet = ProcessFleet(file, deployment.load(file), Path(folder), 1, unit=0.00001)
    if words.profile:
        fleet.interpreter_options["edge"] = ["-m", "cProfile", "-o", words.profile]
    await fleet.start(1, 1)
    try:
        client = await fleet.client(0)
        await client.put("/limon/file", bytes(SIZE))
        await client.close()
        name = stored_name(fleet)
        rounds = []
        for _ in range(words.rounds):
            edge_times, node_times = [], []
            edge = await through_edge(fleet, words.sessions, words.seconds, edge_times)
            node = await directly(fleet, name, words.sessions, words.seconds, node_times)
            rounds.append(
                (
                    edge / node,
                    at(edge_times, 0.5) - at(node_times, 0.5),
                    at(edge_times, 0.99) / at(node_times, 0.99),
                )
            )
            print(
                f"edge {edge / words.seconds:8.0f}/s  direct {node / words.seconds:8.0f}/s  "
                f"ratio {rounds[-1][0]:.3f}  median {at(edge_times, 0.5):.2f} against "
                f"{at(node_times, 0.5):.2f} ms",
                flush=True,
            )
    finally:
        await fleet.stop()
    shares = [share for share, _, _ in rounds]
    print(
        f"reads of {SIZE} bytes, {words.sessions} sessions with {OUT} out, {words.rounds} rounds: ratio "
        f"{statistics.median(shares):.3f} ({min(shares):.3f} to {max(shares):.3f}), latency added at the "
        f"median {statistics.median(added for _, added, _ in rounds):.2f} ms"
    )


def stored_name(fleet):
    """The one object that the node holds, from its own store."""
    import sqlite3

    with sqlite3.connect(fleet.folder / "data" / "node0.db") as base:
        return base.execute("select name from objects").fetchone()[0]


def main():
    """Runs the benchmark and prints its table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sessions", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--profile", help="file for the edge's profile; slows the edge")
    words = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(words, folder))
    if words.profile:
        subprocess.run(
            [
                sys.executable,
                "-c",
                "import pstats, sys; pstats.Stats(sys.argv[1]).sort_stats('tottime').print_stats(25)",
                words.profile,
            ],
            check=True,
        )


if __name__ == "__main__":
    main()
