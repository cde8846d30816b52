"""Compares response times of the emulated machine and of the stand-in node process.

    python -m benchmarks.calibration [--seconds S] [--seed N]

A node process on loopback serves reads and writes of an open loop over connections as an edge opens them; the
emulated machine serves the same sizes at the same times on a `TimerLoop`.  Both draw their service times, so
the distributions are compared (Kolmogorov-Smirnov), not single operations.
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

UNIT_TIME, CORES, QUEUE_LENGTH = 0.01, 2, 40  # of the machine; UNIT_TIME: core seconds per unit
OBJECT_BYTES = 4_096  # small, so that its transfer takes no notable time
LOADS = (0.3, 0.6, 0.85, 1.2)
WRITE_FRACTION = 0.3  # of the operations
ATTEMPT_TIMEOUT = 30_000  # ticks


def draw_operations(load, seconds, seed):
    """Returns operations as (at, units, key, is_write)."""
    rng = random.Random(seed)
    at, operations = 0.0, []
    mean = 1.6
    while at < seconds:
        at += rng.expovariate(load * CORES / UNIT_TIME / mean)
        units = max(1.0, round(rng.lognormvariate(-0.1, 0.6) * mean, 1))
        operations.append(
            (at, min(8.0, units), f"k{min(40, int(rng.paretovariate(0.8)))}", rng.random() < WRITE_FRACTION)
        )
    return operations


def run_emulated(operations, seed):
    """Returns the emulated machine's response times; None for a rejected operation."""
    clock, rng, times = TimerLoop(), random.Random(f"{seed}/ways"), [None] * len(operations)
    model = ServiceModel(
        Shape(cores=CORES, unit=UNIT_TIME, room=QUEUE_LENGTH), random.Random(seed), False, lambda: None, clock
    )

    def arrive(number, sent, units, key, is_write):
        def done(dropped):
            received = clock.time() + rng.uniform(*IN_ZONE_DELAY)
            if not dropped:
                times[number] = received - sent

        model.submit(units, "" if is_write else key, is_write, ATTEMPT_TIMEOUT / 10_000, done)

    for number, (at, units, key, is_write) in enumerate(operations):
        clock.call_at(1.0 + at + rng.uniform(*IN_ZONE_DELAY), arrive, number, 1.0 + at, units, key, is_write)
    clock.run(1.0 + operations[-1][0] + 20)
    return times


async def run_process(operations, seed, folder):
    """Returns the same for a node process."""
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
        str(UNIT_TIME),
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
        data = b"x" * OBJECT_BYTES
        first = loop.create_future()
        connections.send("n0", execute_message(0, 1.0, "", data), lambda result, _: first.set_result(result))
        assert await first == AttemptResult.SUCCEEDED
        started_at = loop.time()

        def on_result(number, due, result, _):
            if result == AttemptResult.SUCCEEDED:
                times[number] = loop.time() - due

        for number, (at, units, key, is_write) in enumerate(operations):
            due = started_at + at
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            connections.send(
                "n0",
                execute_message(number + 1, units, "" if is_write else key, data if is_write else None),
                lambda result, outcome, number=number, due=due: on_result(number, due, result, outcome),
            )
        await asyncio.sleep(3.0)
        await connections.close()
        return times
    finally:
        node.stdin.close()
        node.terminate()
        await node.wait()


def execute_message(number, units, key, data):
    """Returns the message of an attempt: a write of `data`, or a read if it is None."""
    message = messages.Execute(
        op=f"edge0.1.{number}/-",
        execution=0,
        volume="heredia",
        lane="lectura",
        key=key,
        units=units,
        time_out=ATTEMPT_TIMEOUT,
    )
    if data is not None:
        message.write.CopyFrom(messages.WriteObject(object=f"o{number}", data=data, crc=zlib.crc32(data)))
    else:
        message.read.CopyFrom(messages.ReadObject(object="o0", offset=0, length=OBJECT_BYTES))
    return message


def main():
    """Prints the benchmark's table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(
        f"{'load':>5}{'operations':>12}{'':>12}{'p50 ms':>9}{'p90':>9}{'p99':>9}{'turned away':>13}"
        f"{'KS distance':>13}{'chance':>9}"
    )
    for load in LOADS:
        operations = draw_operations(load, options.seconds, options.seed)
        with tempfile.TemporaryDirectory() as folder:
            times = {
                "process": asyncio.run(run_process(operations, options.seed, Path(folder))),
                "emulated": run_emulated(operations, options.seed + 1),
            }
        succeeded = {name: [time for time in sample if time is not None] for name, sample in times.items()}
        # Consecutive times are correlated, but the test assumes independence: thin them out.
        stride = max(1, len(operations) // 300)
        test = stats.ks_2samp(succeeded["process"][::stride], succeeded["emulated"][::stride])
        for name, sample in succeeded.items():
            p50, p90, p99 = (1000 * numpy.quantile(sample, fraction) for fraction in (0.5, 0.9, 0.99))
            print(
                f"{load:5}{len(operations):12}{name:>12}{p50:9.1f}{p90:9.1f}{p99:9.1f}"
                f"{1 - len(sample) / len(operations):13.4f}"
                + (f"{test.statistic:13.3f}{test.pvalue:9.3f}" if name == "emulated" else "")
            )


if __name__ == "__main__":
    main()
