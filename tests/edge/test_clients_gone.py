"""No attempt begins more than 0.1 s after a client has closed, whatever it sent before.

An edge began hundreds of attempts up to 1.5 s after a client that had sent 1,000 reads at once had closed:
the end of its stream was read only behind its requests, which were started as others ended.
"""

import asyncio

import pytest

from rushmux.sftp import packets as sftp

PATH = "/limon/manifest"
READ_SIZE = 4_096
GONE_TIME = 0.1  # seconds after the close within which an attempt may begin
NETWORK_DELAY = 0.005  # seconds, at most
PIPELINE = 1_000
BACKGROUND_SUFFIX = "/-"  # of the ids of operations that no client asked for


def late_attempts(fleet, left_at):
    """The executions that nodes received for a request too long after the client had left."""
    latest = left_at + GONE_TIME + NETWORK_DELAY
    return [
        row["op"]
        for row in fleet.all_records()
        if row["kind"] == "execution" and row["at"] > latest and not row["op"].endswith(BACKGROUND_SUFFIX)
    ]


def request(kind, handle, number):
    if kind is sftp.Read:
        return sftp.Read(number, handle, 0, READ_SIZE)
    if kind is sftp.Write:
        return sftp.Write(number, handle, number * 8, b"A" * 8)
    return sftp.Stat(number, PATH)


@pytest.mark.parametrize("kind", [sftp.Read, sftp.Write, sftp.Stat], ids=["reads", "writes", "look-ups"])
@pytest.mark.parametrize("close", ["close", "abort"])
def test_no_attempt_begins_after_a_client_with_a_long_pipeline_has_closed(run_fleet, kind, close):
    async def steps(fleet):
        client = await fleet.client(0)
        await client.put(PATH, bytes(READ_SIZE))
        handle = await client.open(PATH, sftp.READ | sftp.WRITE)
        for number in range(1_000, 1_000 + PIPELINE):
            client.writer.write(sftp.encode(request(kind, handle, number)))
        await fleet.sleep(0.02)
        left_at = fleet.loop.time()
        getattr(client.writer.transport, close)()
        await fleet.sleep(5)
        return left_at, len(fleet.edges[0].program.sessions)

    fleet, (left_at, session_count) = run_fleet(steps, nodes=4, unit=0.02)
    assert late_attempts(fleet, left_at) == []
    assert session_count == 0


def test_a_client_that_closes_while_its_requests_wait_leaves_other_clients_alone(run_fleet):
    async def steps(fleet):
        leaver, other = await fleet.client(0), await fleet.client(0)
        await leaver.put(PATH, bytes(READ_SIZE))
        handle = await leaver.open(PATH, sftp.READ)
        for number in range(1_000, 1_000 + PIPELINE):
            leaver.writer.write(sftp.encode(sftp.Read(number, handle, 0, READ_SIZE)))
        reads = [asyncio.ensure_future(other.get(PATH)) for _ in range(3)]
        await fleet.sleep(0.02)
        leaver.writer.transport.close()
        return await asyncio.gather(*reads)

    assert run_fleet(steps, nodes=4, unit=0.004)[1] == [bytes(READ_SIZE)] * 3
