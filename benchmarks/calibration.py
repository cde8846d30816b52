"""The emulated machine against the stand-in node process: the same operations at both, times compared.

    python -m benchmarks.calibration [--seconds S] [--seed N]

A node process on loopback takes writes and reads of an open loop over a connection as an edge opens it; the
emulated machine takes the same sizes at the same times on the lean clock.  Both draw their service
times, so that distributions are compared (Kolmogorov-Smirnov), not single operations.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import zlib
from pathlib import Path

import numpy
from scipy import stats

from rushmux.edge.node_connections import Address, NodeConnections
from rushmux.lab.simulated_network import IN_ZONE_DELAY
from rushmux.lab.timer_loop import TimerLoop
from rushmux.log import to_list
from rushmux.nodewire import VERSION, messages
from rushmux.scheduling.interface import AttemptResult
from rushmux.standins.service_model import ServiceModel, Shape

UNIT, CORES, ROOM = 0.01, 2, 40  # of the machine: seconds of a core for a unit, cores, waiting room
BYTES = 4_096  # of an object: little, so that moving it is no work of its own
LOADS = (0.3, 0.6, 0.85, 1.2)
WRITES = 0.3
TIME_OUT = 30_000  # ticks


def drawn(load, seconds, seed):
    """Operations as (at, units, key, writes)."""
    chance = random.Random(seed)
    at, found = 0.0, []
    mean = 1.6
    while at < seconds:
        at += chance.expovariate(load * CORES / UNIT / mean)
        units = max(1.0, round(chance.lognormvariate(-0.1, 0.6) * mean, 1))
        found.append(
            (at, min(8.0, units), f"k{min(40, int(chance.paretovariate(0.8)))}", chance.random() < WRITES)
        )
    return found


def emulated(operations, seed):
    """Answer times at the emulated machine, None where it turned one away."""
    clock, chance, times = TimerLoop(), random.Random(f"{seed}/ways"), [None] * len(operations)
    model = ServiceModel(
        Shape(cores=CORES, unit=UNIT, room=ROOM), random.Random(seed), False, lambda: None, clock
    )

    def arrive(number, sent, units, key, writes):
        def done(late):
            back = clock.time() + chance.uniform(*IN_ZONE_DELAY)
            if not late:
                times[number] = back - sent

        model.submit(units, "" if writes else key, writes, TIME_OUT / 10_000, done)

    for number, (at, units, key, writes) in enumerate(operations):
        clock.call_at(1.0 + at + chance.uniform(*IN_ZONE_DELAY), arrive, number, 1.0 + at, units, key, writes)
    clock.run(1.0 + operations[-1][0] + 20)
    return times


async def real(operations, seed, folder):
    """The same at a node process."""
    node = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rushmux",
        "node",
        "--name",
        "n0",
        "--cell",
        "0",
        "--lists",
        "127.0.0.1:9",
        "--warm",
        "--unit",
        str(UNIT),
        "--cores",
        str(CORES),
        "--data",
        str(folder / "n0.db"),
        "--seed",
        str(seed),
        "--log-level",
        "error",
        "--with-parent",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        port = json.loads(await asyncio.wait_for(node.stdout.readline(), 30))["port"]
        loop, times = asyncio.get_running_loop(), [None] * len(operations)
        connections = NodeConnections(
            messages.Hello(version=VERSION, peer="edge0", start="1"),
            connect_timeout=2.0,
            connections_per_node=2,
            rng=random.Random(seed),
            log=to_list([], "error"),
        )
        connections.set_address("n0", Address("127.0.0.1", port))
        data = b"x" * BYTES
        first = loop.create_future()
        connections.send("n0", execute(0, 1.0, "", data), lambda result, _: first.set_result(result))
        assert await first == AttemptResult.SUCCEEDED
        begun = loop.time()

        def came(number, due, result, _):
            if result == AttemptResult.SUCCEEDED:
                times[number] = loop.time() - due

        for number, (at, units, key, writes) in enumerate(operations):
            due = begun + at
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            connections.send(
                "n0",
                execute(number + 1, units, "" if writes else key, data if writes else None),
                lambda result, outcome, number=number, due=due: came(number, due, result, outcome),
            )
        await asyncio.sleep(3.0)
        await connections.close()
        return times
    finally:
        node.stdin.close()
        node.terminate()
        await node.wait()


def execute(number, units, key, data):
    """The message of an attempt: a write of `data`, or a read where there is none."""
    message = messages.Execute(
        op=f"edge0.1.{number}/-",
        execution=0,
        volume="heredia",
        lane="lectura",
        key=key,
        units=units,
        time_out=TIME_OUT,
    )
    if data is not None:
        message.write.CopyFrom(messages.WriteObject(object=f"o{number}", data=data, crc=zlib.crc32(data)))
    else:
        message.read.CopyFrom(messages.ReadObject(object="o0", offset=0, length=BYTES))
    return message


def main():
    """Runs the benchmark and prints its table."""
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--seconds", type=float, default=20.0)
    asked.add_argument("--seed", type=int, default=1)
    wanted = asked.parse_args()
    print(
        f"{'load':>5}{'operations':>12}{'':>12}{'p50 ms':>9}{'p90':>9}{'p99':>9}{'turned away':>13}"
        f"{'KS distance':>13}{'chance':>9}"
    )
    for load in LOADS:
        operations = drawn(load, wanted.seconds, wanted.seed)
        with tempfile.TemporaryDirectory() as folder:
            times = {
                "process": asyncio.run(real(operations, wanted.seed, Path(folder))),
                "emulated": emulated(operations, wanted.seed + 1),
            }
        good = {name: [time for time in found if time is not None] for name, found in times.items()}
        # Neighbouring times hang together; every so many are taken as if they did not.
        apart = max(1, len(operations) // 300)
        test = stats.ks_2samp(good["process"][::apart], good["emulated"][::apart])
        for name, found in good.items():
            p50, p90, p99 = (1000 * numpy.quantile(found, part) for part in (0.5, 0.9, 0.99))
            print(
                f"{load:5}{len(operations):12}{name:>12}{p50:9.1f}{p90:9.1f}{p99:9.1f}"
                f"{1 - len(found) / len(operations):13.4f}"
                + (f"{test.statistic:13.3f}{test.pvalue:9.3f}" if name == "emulated" else "")
            )


if __name__ == "__main__":
    main()
