"""Drives running edges over sockets with an experiment's workload: open loop, times from the intended start.

Each new object becomes a file that is written, each read one of those written before through the same
folder; sizes follow the operations' units.
"""

import asyncio
from collections import Counter, deque

from rushmux.lab import outcome, spec
from rushmux.sftp import packets as sftp
from rushmux.standins.client import Client, Gone, Refusal

MOST_OUT = 2_000  # at a time; more are counted as turned away by the load itself
UNIT = 32_768  # bytes of a unit
KNOWN = 64  # files of a folder that reads choose from
SESSIONS = 4  # with each edge
FIRST = 2  # files filed in each folder before the clock starts
QUOTED = {"write": 1.4, "read": 0.8}  # seconds: of the accesses that one request is made of, in the example


class NotServed(Exception):
    """No edge took a session, or no folder a file."""


def drive(raw: dict, seed: int, seconds: float, edges, folders) -> tuple[list[str], bool]:
    """Plays `seconds` of a day against edges at (host, port); lines, and whether all were answered."""
    _, _, arrivals, _ = spec.day({**raw, "seconds": seconds, "troubles": []}, raw["variants"][0], seed)
    return asyncio.run(_drive(arrivals, seconds, edges, folders))


async def _drive(arrivals, seconds, edges, folders):
    loop = asyncio.get_running_loop()
    pools = []
    for host, port in edges:
        try:
            pools.append([await Client(lambda *_, **__: None).connect(host, port) for _ in range(SESSIONS)])
        except (OSError, Gone) as fault:
            raise NotServed(f"{host}:{port} takes no session: {fault}") from fault
    known = {folder: deque(maxlen=KNOWN) for folder in folders}
    names = sorted({arrival.volume for arrival in arrivals})
    home = {name: folders[place % len(folders)] for place, name in enumerate(names)}
    ends, times, tasks = Counter(), {kind: outcome.histogram() for kind in QUOTED}, {}
    in_time = 0
    for folder in folders:
        for number in range(FIRST):
            path = f"/{folder}/load-{loop.time():.6f}-{number}"
            try:
                await pools[0][0].put(path, b"x" * UNIT)
            except (Refusal, Gone) as fault:
                raise NotServed(f"{path} cannot be filed: {fault}") from fault
            known[folder].append(path)

    async def one(number, arrival, due):
        nonlocal in_time
        pool = pools[arrival.edge % len(pools)]
        client, folder = pool[number % len(pool)], home[arrival.volume]
        kind = "write" if arrival.cell < 0 else "read"
        try:
            if kind == "write":
                path = f"/{folder}/load-{due:.6f}-{number}"
                await client.put(path, b"x" * int(arrival.units * UNIT))
                known[folder].append(path)
            else:
                await client.get(known[folder][number % len(known[folder])])
            ends["succeeded"] += 1
            took = loop.time() - due
            in_time += took <= QUOTED[kind]
            times[kind].record_value(max(1, int(took * 1e6)))
        except Refusal as refusal:
            ends[refusal.status.message.split(":")[0] or sftp.FAILURE] += 1
        except (Gone, OSError):
            ends["lost"] += 1

    begun = loop.time()
    for number, arrival in enumerate(arrivals):
        due = begun + arrival.at
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        if len(tasks) >= MOST_OUT:
            ends["turned away by the load"] += 1
            continue
        task = loop.create_task(one(number, arrival, due))
        tasks[task] = True
        task.add_done_callback(tasks.pop)
    await asyncio.gather(*tasks)
    for pool in pools:
        for client in pool:
            await client.close()
    lines = [
        f"{len(arrivals)} requests in {seconds:g} s through {len(edges)} edge(s): "
        + ", ".join(f"{how} {count}" for how, count in sorted(ends.items()))
        + f"; in time {in_time / max(1, len(arrivals)):.3f}"
    ]
    for kind, found in times.items():
        if found.get_total_count():
            lines.append(
                f"  {kind:6} "
                + ", ".join(
                    f"{part}%: {found.get_value_at_percentile(part) / 1000:.1f} ms" for part in outcome.PARTS
                )
            )
    return lines, ends["lost"] == 0
