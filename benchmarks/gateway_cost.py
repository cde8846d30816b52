"""Measures the gateway's overhead: reads through an edge compared with reads directly from the node.

    python benchmarks/gateway_cost.py [--sessions 8] [--seconds 3] [--rounds 5] [--profile FILE]

One edge, and one node whose work takes almost no time.  Each session repeatedly reads the same 4 KiB object
and keeps several reads in flight.  The two variants run in turn; the result is their ratio.
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

READ_BYTES = 4_096
READS_IN_FLIGHT = 4  # of a session


async def read_through_edge(fleet, sessions, seconds, times):
    """Reads over SFTP and returns the number of replies."""
    loop = asyncio.get_running_loop()
    clients = [await fleet.client(0) for _ in range(sessions)]
    handles = [await client.open("/limon/file", sftp.READ) for client in clients]
    end_at, count = loop.time() + seconds, 0

    async def read_repeatedly(client, handle):
        nonlocal count
        while loop.time() < end_at:
            started_at = loop.time()
            await client.ask(sftp.Read, handle, 0, READ_BYTES)
            times.append(loop.time() - started_at)
            count += 1

    await asyncio.gather(
        *(
            read_repeatedly(client, handle)
            for client, handle in zip(clients, handles, strict=True)
            for _ in range(READS_IN_FLIGHT)
        )
    )
    for client in clients:
        await client.close()
    return count


async def read_from_node(fleet, name, sessions, seconds, times):
    """Reads over the node's own protocol and returns the number of replies."""
    loop = asyncio.get_running_loop()
    end_at, count = loop.time() + seconds, 0

    async def read_repeatedly(number):
        nonlocal count
        reader, writer = await asyncio.open_connection(*fleet.nodes["node0"].address)
        writer.write(frame(messages.Message(hello=messages.Hello(version=VERSION, peer="direct", start="0"))))
        frames, sent_at, corr = FrameReader(), {}, 0

        def send():
            nonlocal corr
            corr += 1
            sent_at[corr] = loop.time()
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
                            read=messages.ReadObject(object=name, length=READ_BYTES),
                        )
                    )
                )
            )

        for _ in range(READS_IN_FLIGHT):
            send()
        while loop.time() < end_at:
            for message in frames.feed(await reader.read(1 << 16)):
                if message.WhichOneof("body") == "outcome":
                    times.append(loop.time() - sent_at.pop(message.outcome.corr))
                    count += 1
                    send()
        writer.close()

    await asyncio.gather(*(read_repeatedly(number) for number in range(sessions)))
    return count


def quantile_ms(times, fraction):
    """Returns a quantile of the times, in milliseconds."""
    return sorted(times)[int(fraction * (len(times) - 1))] * 1_000


async def measure(options, folder):
    """Measures the edge and the node alone in turn, and prints both."""
    raw = json.loads(Path(deployment.__file__).with_name("example.json").read_text())
    raw["fleet"]["gateways"] = 1
    file = Path(folder) / "deployment.json"
    file.write_text(json.dumps(raw))
    fleet = ProcessFleet(file, deployment.load(file), Path(folder), 1, unit=0.00001)
    if options.profile:
        fleet.interpreter_options["edge"] = ["-m", "cProfile", "-o", options.profile]
    await fleet.start(1, 1)
    try:
        client = await fleet.client(0)
        await client.put("/limon/file", bytes(READ_BYTES))
        await client.close()
        name = stored_name(fleet)
        rounds = []
        for _ in range(options.rounds):
            edge_times, node_times = [], []
            edge = await read_through_edge(fleet, options.sessions, options.seconds, edge_times)
            node = await read_from_node(fleet, name, options.sessions, options.seconds, node_times)
            rounds.append(
                (
                    edge / node,
                    quantile_ms(edge_times, 0.5) - quantile_ms(node_times, 0.5),
                    quantile_ms(edge_times, 0.99) / quantile_ms(node_times, 0.99),
                )
            )
            print(
                f"edge {edge / options.seconds:8.0f}/s  direct {node / options.seconds:8.0f}/s  "
                f"ratio {rounds[-1][0]:.3f}  median {quantile_ms(edge_times, 0.5):.2f} against "
                f"{quantile_ms(node_times, 0.5):.2f} ms",
                flush=True,
            )
    finally:
        await fleet.stop()
    ratios = [ratio for ratio, _, _ in rounds]
    print(
        f"reads of {READ_BYTES} bytes, {options.sessions} sessions with {READS_IN_FLIGHT} out, "
        f"{options.rounds} rounds: ratio "
        f"{statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f}), latency added at the "
        f"median {statistics.median(added for _, added, _ in rounds):.2f} ms"
    )


def stored_name(fleet):
    """Returns the name of the only object in the node's store."""
    import sqlite3

    with sqlite3.connect(fleet.folder / "data" / "node0.db") as database:
        return database.execute("select name from objects").fetchone()[0]


def main():
    """Prints the benchmark's table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sessions", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--profile", help="file for the edge's profile; slows the edge")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(options, folder))
    if options.profile:
        subprocess.run(
            [
                sys.executable,
                "-c",
                "import pstats, sys; pstats.Stats(sys.argv[1]).sort_stats('tottime').print_stats(25)",
                options.profile,
            ],
            check=True,
        )


if __name__ == "__main__":
    main()
