"""Clients that violate the protocol get an error status or are disconnected; other clients are unaffected."""

import asyncio

import pytest

from rushmux.sftp import packets as sftp
from rushmux.standins.client import ConnectionClosedError, StatusError

NO_ATTRIBUTES = sftp.Attributes()


async def send_raw(fleet, *parts, begin=True):
    """Sends raw bytes over a new connection, after an Init packet if `begin` is set.

    Returns the packets received within a second, and whether the connection was closed.
    """
    reader, writer = await asyncio.open_connection(*fleet.edges[0].address)
    if begin:
        writer.write(sftp.encode(sftp.Init(3, ())))
    for part in parts:
        writer.write(part)
    splitter, found = sftp.PacketSplitter(), []
    try:
        async with asyncio.timeout(1):
            while data := await reader.read(1 << 16):
                found += [sftp.decode(body) for body in splitter.feed(data)]
    except TimeoutError:
        return found, False
    return found, True


def close_reasons(fleet):
    return [row["reason"] for row in fleet.logs if row["event"] == "session.closed"]


@pytest.mark.parametrize(
    "parts, begin, why",
    [
        ([b"\xff\xff\xff\xff" + b"x" * 50], True, "4294967295 bytes"),
        ([b"\0\0\0\0"], True, "0 bytes"),
        ([sftp.encode(sftp.Stat(1, "/limon"))], False, "Stat before Init"),
        ([sftp.encode(sftp.Init(3, ()))], True, "Init in the middle"),
        ([sftp.encode(sftp.Status(1, 0, "", ""))], True, "Status in the middle"),
        ([b"\0\0\0\2\x11\0"], True, "field of 4 bytes exceeds the 1 bytes left"),
    ],
)
def test_an_invalid_stream_is_closed_with_a_reason(run_fleet, parts, begin, why):
    async def steps(fleet):
        other = await fleet.client(0)
        _, closed = await send_raw(fleet, *parts, begin=begin)
        assert closed
        await other.put("/limon/a", b"untouched")
        return await other.get("/limon/a")

    fleet, got = run_fleet(steps)
    assert got == b"untouched" and any(why in text for text in close_reasons(fleet))


def test_an_invalid_packet_gets_an_error_status_and_the_session_continues(run_fleet):
    async def steps(fleet):
        bad = b"\x03" + (7).to_bytes(4, "big") + (99).to_bytes(4, "big")
        return await send_raw(
            fleet,
            len(bad).to_bytes(4, "big") + bad,
            (5).to_bytes(4, "big") + b"\x14" + (8).to_bytes(4, "big"),
            sftp.encode(sftp.RealPath(9, "/limon/./x/..")),
        )

    (_, bad, unknown, path), closed = run_fleet(steps)[1]
    assert (bad.request_id, bad.code) == (7, sftp.BAD_MESSAGE)
    assert (unknown.request_id, unknown.code) == (8, sftp.OP_UNSUPPORTED)
    assert path.names[0].name == "/limon" and not closed


def test_paths_handles_and_offsets_are_checked(run_fleet, raw):
    raw["sessions"]["handles"] = 3

    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(0)
        codes = []

        async def expect_error(client, kind, *fields):
            with pytest.raises(StatusError) as error:
                await client.ask(kind, *fields)
            codes.append(error.value.status.code)

        for path in ("/..", "/limon/../../etc", "/limon/a\0b", "/limon/" + "x" * 300):
            await expect_error(one, sftp.Open, path, sftp.READ, NO_ATTRIBUTES)
        await expect_error(one, sftp.MkDir, "/new", NO_ATTRIBUTES)
        await expect_error(one, sftp.Open, "/nobody/x", sftp.READ, NO_ATTRIBUTES)
        await expect_error(one, sftp.Open, "/limon/x", 0, NO_ATTRIBUTES)
        handle = await one.open("/limon/x", sftp.WRITE | sftp.CREATE)
        await expect_error(two, sftp.Write, handle, 0, b"foreign")
        await expect_error(one, sftp.Write, handle, 2**63, b"far")
        await expect_error(one, sftp.Read, handle, 0, 10)
        await expect_error(one, sftp.SetStat, "/limon/x", sftp.Attributes(size=2**63))
        await expect_error(one, sftp.Extended, "fsync@openssh.com", b"\0\0\0\x09abc")
        await expect_error(one, sftp.Extended, "nothing@nowhere", b"")
        for _ in range(2):
            await one.open("/limon/x", sftp.READ)
        await expect_error(one, sftp.Open, "/limon/x", sftp.READ, NO_ATTRIBUTES)
        await one.ask(sftp.Close, handle)
        await expect_error(one, sftp.Close, handle)
        await one.open("/limon/x", sftp.READ)
        return codes

    denied, failed = sftp.PERMISSION_DENIED, sftp.FAILURE
    assert run_fleet(steps)[1] == [denied] * 4 + [sftp.NO_SUCH_FILE] * 2 + [
        sftp.BAD_MESSAGE,
        failed,
        failed,
        denied,
        failed,
        sftp.BAD_MESSAGE,
        sftp.OP_UNSUPPORTED,
        failed,
        failed,
    ]


def test_a_read_far_past_the_end_returns_end_of_file(run_fleet):
    async def steps(fleet):
        one = await fleet.client(0)
        await one.put("/limon/x", b"short")
        handle = await one.open("/limon/x", sftp.READ)
        with pytest.raises(StatusError, match=r"^1: "):
            await one.ask(sftp.Read, handle, 2**64 - 1, 2**32 - 1)
        return (await one.ask(sftp.Read, handle, 0, 2**32 - 1)).data

    assert run_fleet(steps)[1] == b"short"


def test_a_client_that_never_reads_is_disconnected_with_bounded_memory(run_fleet, raw):
    raw["sessions"]["unread_ms"] = 2_000

    async def steps(fleet):
        one = await fleet.client(0)
        await one.put("/limon/big", bytes(262_144))
        _, writer = await asyncio.open_connection(*fleet.edges[0].address)
        writer.transport.pause_reading()
        writer.write(sftp.encode(sftp.Init(3, ())))
        writer.write(sftp.encode(sftp.Open(1, "/limon/big", sftp.READ, NO_ATTRIBUTES)))
        await fleet.sleep(1)
        session = list(fleet.edges[0].program.sessions)[-1]
        handle = next(iter(session.handles.by_id))
        for number in range(2, 400):
            writer.write(sftp.encode(sftp.Read(number, handle, 0, 262_144)))
        max_buffered = 0
        for _ in range(80):
            await fleet.sleep(0.1)
            max_buffered = max(max_buffered, session.writer.transport.get_write_buffer_size())
        assert await one.get("/limon/big") == bytes(262_144)
        return max_buffered, session in fleet.edges[0].program.sessions

    fleet, (max_buffered, is_open) = run_fleet(steps)
    assert not is_open and 1 << 20 < max_buffered < 64 * 262_144 + (2 << 20)
    assert any(row["event"] == "session.client_not_reading" for row in fleet.logs)


def test_a_client_that_sends_a_byte_a_second_is_disconnected(run_fleet, raw):
    raw["sessions"]["packet_ms"] = 5_000

    async def steps(fleet):
        reader, writer = await asyncio.open_connection(*fleet.edges[0].address)
        writer.write(sftp.encode(sftp.Init(3, ())))
        for byte in sftp.encode(sftp.Stat(1, "/limon/none"))[:15]:
            writer.write(bytes([byte]))
            await fleet.sleep(1)
        return await reader.read(1 << 16), await reader.read(1 << 16)

    fleet, (_, rest) = run_fleet(steps)
    assert rest == b"" and any("packet incomplete after 5.0 s" in why for why in close_reasons(fleet))


def test_the_number_of_sessions_is_bounded(run_fleet, raw):
    raw["sessions"]["most"] = 2

    async def steps(fleet):
        kept = [await fleet.client(0) for _ in range(2)]
        with pytest.raises((ConnectionClosedError, OSError)):
            await fleet.client(0)
        return await kept[0].list_directory("/limon")

    assert run_fleet(steps)[1] == []


def test_requests_beyond_the_pipelining_limit_are_all_answered(run_fleet, raw):
    raw["sessions"]["pipelined"] = 4

    async def steps(fleet):
        one = await fleet.client(0)
        return len(await asyncio.gather(*(one.ask(sftp.Stat, "/limon") for _ in range(60))))

    assert run_fleet(steps)[1] == 60
