"""An edge that comes back while all nodes drain: nothing new may go to them.

An operator drains the nodes one by one while an edge is down for a moment.  The edge starts again, gets the
planner's list, and its clients ask for files.
"""

import asyncio
import signal
import sys

from trial import Trial, main

from rushmux.sftp import packets as sftp
from rushmux.standins.client import StatusError

NODES = 2
FOLDERS = ("estrella", "frutas", "golfo", "heredia", "limon")
GRACE = 2.0
"""Seconds after which a gateway that was told of a drain sends nothing new: the longest of all pages."""
ASK_FOR = 6.0
"""Seconds for which the clients ask."""
ASK_PAUSE = 0.03


async def ask(trial: Trial, until: float) -> None:
    """Asks for the attributes of files, again and again."""
    client, number = await trial.client(0), 0
    while trial.now() < until:
        folder = FOLDERS[number % len(FOLDERS)]
        number += 1
        try:
            await client.ask(sftp.Stat, f"/{folder}/invoice")
        except StatusError as error:
            trial.note("answered", folder=folder, text=str(error))
        await asyncio.sleep(ASK_PAUSE)


async def drain(planner_port: int, node: str) -> None:
    """Gives the operators' command to drain a node."""
    words = "-m", "rushmux", "fleet", "drain", "--planner", f"127.0.0.1:{planner_port}", node
    process = await asyncio.create_subprocess_exec(sys.executable, *words)
    if await process.wait():
        raise RuntimeError(f"the drain of {node} was refused")


async def told(trial: Trial) -> float:
    """Returns when an edge had been written, last, that every node drains."""
    while True:
        states, at = {}, 0.0
        for row in trial.fleet.rows:
            if row["kind"] == "listed":
                states = row["nodes"] if row["whole"] else states | row["nodes"]
                at = row["at"]
        if len(states) == NODES and set(states.values()) == {"draining"}:
            return trial.since_start(at)
        await asyncio.sleep(ASK_PAUSE)


async def case(trial: Trial) -> bool:
    """Returns whether the nodes got nothing new from the edge later than the grace after it was told."""
    fleet = await trial.start(nodes=NODES, edges=1)
    await ask(trial, trial.now() + 1.0)
    edge = fleet.edges[0]
    if trial.has_trouble:
        trial.signal(edge, signal.SIGKILL)
        await edge.process.wait()
    for node in fleet.nodes.values():
        trial.note("drain", node=node.name)
        await drain(fleet.endpoint_source.port, node.name)
    if trial.has_trouble:
        await fleet.start_edge(0, edge.port)
    told_at = await told(trial)
    trial.note("told", at=f"{told_at:.4f}")
    await ask(trial, told_at + GRACE + ASK_FOR)
    late = 0
    for row in fleet.all_records():
        at = trial.since_start(row["at"])
        if row["kind"] == "execution" and row["edge"] == "edge0" and at > told_at + GRACE:
            late += 1
            trial.note("execution", at=f"{at:.4f}", node=row["node"], op=row["op"])
    trial.note("counted", executions_after_grace=late)
    return late == 0


if __name__ == "__main__":
    main(case)
