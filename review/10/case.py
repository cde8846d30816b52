"""A client sends many requests at once and leaves: nothing more may be sent to nodes for it.

The client asks for pieces of a file, a thousand requests in a row, and closes its connection.
"""

import asyncio

from trial import Trial, main

from rushmux.sftp import packets as sftp
from rushmux.standins.client import Client

PATH = "/heredia/scan"
CHUNK = 512
CHUNKS = 8
REQUESTS = 1000
GRACE = 0.1
"""Seconds from a client's close after which no attempt may begin for it."""
UNIT_TIME = 0.005
"""Core seconds of a node for one unit of work."""
WATCH_TIME = 8.0
"""Seconds for which the nodes are watched after the close."""


def send_at_once(client: Client, handle: bytes) -> list[asyncio.Future]:
    """Sends all requests in one write; returns the futures of their answers."""
    packets = []
    for number in range(REQUESTS):
        client.request_count += 1
        client.pending[client.request_count] = client.loop.create_future()
        packets.append(sftp.Read(client.request_count, handle, number % CHUNKS * CHUNK, CHUNK))
    client.writer.write(b"".join(map(sftp.encode, packets)))
    client.record("sent", session=client.name, requests=len(packets))
    return [client.pending[packet.request_id] for packet in packets]


async def case(trial: Trial) -> bool:
    """Returns whether no attempt began for the client later than the grace after its close."""
    fleet = await trial.start(nodes=4, edges=2, unit_time=UNIT_TIME)
    client = await trial.client(0)
    await client.put(PATH, bytes(CHUNK * CHUNKS))
    handle = await client.open(PATH, sftp.READ)
    asked = send_at_once(client, handle)
    if trial.has_trouble:
        await asyncio.sleep(GRACE)
    else:
        await asyncio.wait(asked)
    session = client.name.rsplit("/", 1)[1]
    client.writer.close()
    closed_at = asyncio.get_running_loop().time()
    trial.note("closed", answered=sum(each.done() for each in asked))
    await asyncio.sleep(WATCH_TIME)
    for each in asked:
        each.cancel()
    late = 0
    for row in fleet.all_records():
        is_own = row["kind"] == "execution" and f"/{session}." in row["op"]
        if is_own and row["at"] > closed_at + GRACE:
            late += 1
            trial.note(
                "execution", after_close=f"{row['at'] - closed_at:.4f}", node=row["node"], op=row["op"]
            )
    trial.note("counted", attempts_after_close=late)
    return late == 0


if __name__ == "__main__":
    main(case)
