"""File operations through one edge and through two, on the virtual clock."""

import asyncio

import pytest

from rushmux.sftp import packets as sftp
from rushmux.standins.client import StatusError

NO_ATTRIBUTES = sftp.Attributes()


def raises_status(code):
    return pytest.raises(StatusError, match=f"^{code}: ")


def test_a_file_written_through_one_edge_is_read_through_another(run_fleet):
    data = bytes(range(256)) * 4_000

    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        await one.put("/heredia/a", data)
        return await two.get("/heredia/a")

    assert run_fleet(steps)[1] == data


def test_overlapping_writes_are_applied_in_the_order_sent(run_fleet):
    async def steps(fleet):
        one = await fleet.client(0)
        handle = await one.open("/limon/x", sftp.READ | sftp.WRITE | sftp.CREATE)
        await asyncio.gather(
            *(
                one.ask(sftp.Write, handle, offset, bytes([offset % 251]) * 1_000)
                for offset in range(0, 40_000, 700)
            )
        )
        return (await one.ask(sftp.Read, handle, 0, 60_000)).data

    expected = bytearray(39_900 + 1_000)
    for offset in range(0, 40_000, 700):
        expected[offset : offset + 1_000] = bytes([offset % 251]) * 1_000
    fleet, got = run_fleet(steps)
    assert got == bytes(expected)
    # The block consisted of 58 extents, more than the limit, so it was read and compacted.
    assert any(row["kind"] == "execution" and row["what"] == "read" for row in fleet.records)


def test_concurrent_changes_of_a_folder_by_two_edges_are_not_lost(run_fleet):

    async def steps(fleet):
        clients = [await fleet.client(number) for number in (0, 1)]
        await clients[0].ask(sftp.MkDir, "/heredia/d", NO_ATTRIBUTES)
        await asyncio.gather(
            *(
                client.put(f"/heredia/d/{number}-{place}", b"%d" % place)
                for number, client in enumerate(clients)
                for place in range(12)
            )
        )
        return sorted(await clients[0].list_directory("/heredia/d"))

    assert run_fleet(steps, unit=0.003)[1] == sorted(
        f"{number}-{place}" for number in (0, 1) for place in range(12)
    )


def test_concurrent_appends_by_two_edges_are_not_lost(run_fleet):

    async def steps(fleet):
        clients = [await fleet.client(number) for number in (0, 1)]
        handles = [
            await client.open("/heredia/log", sftp.WRITE | sftp.APPEND | sftp.CREATE) for client in clients
        ]

        async def lines(client, handle, name):
            for place in range(8):
                await client.ask(sftp.Write, handle, 0, b"%s%d\n" % (name, place))

        await asyncio.gather(lines(clients[0], handles[0], b"a"), lines(clients[1], handles[1], b"b"))
        return (await clients[1].get("/heredia/log")).split()

    got = run_fleet(steps)[1]
    assert sorted(got) == sorted(b"%s%d" % (name, place) for name in (b"a", b"b") for place in range(8))
    assert [line for line in got if line[:1] == b"a"] == [b"a%d" % place for place in range(8)]


def test_names_are_renamed_replaced_and_removed(run_fleet):
    async def steps(fleet):
        one = await fleet.client(0)
        await one.put("/limon/a", b"first")
        await one.put("/limon/b", b"second")
        with raises_status(sftp.FAILURE):
            await one.ask(sftp.Rename, "/limon/a", "/limon/b")
        texts = b"".join(len(text).to_bytes(4, "big") + text for text in (b"/limon/a", b"/limon/b"))
        await one.ask(sftp.Extended, "posix-rename@openssh.com", texts)
        assert await one.list_directory("/limon") == ["b"] and await one.get("/limon/b") == b"first"
        await one.ask(sftp.MkDir, "/limon/d", NO_ATTRIBUTES)
        await one.ask(sftp.Rename, "/limon/b", "/limon/d/c")
        with raises_status(sftp.FAILURE):
            await one.ask(sftp.Rename, "/limon/d", "/limon/d/f")
        with raises_status(sftp.FAILURE):
            await one.ask(sftp.RmDir, "/limon/d")
        with raises_status(sftp.PERMISSION_DENIED):
            await one.ask(sftp.Rename, "/limon/d/c", "/heredia/c")
        await one.ask(sftp.Remove, "/limon/d/c")
        await one.ask(sftp.RmDir, "/limon/d")
        return await one.list_directory("/limon")

    assert run_fleet(steps)[1] == []


def test_files_are_truncated_and_extended_with_zeros(run_fleet):
    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        await one.put("/limon/a", b"x" * 600_000)
        await one.ask(sftp.SetStat, "/limon/a", sftp.Attributes(size=300_000))
        await one.ask(sftp.SetStat, "/limon/a", sftp.Attributes(size=300_010, mode=0o600))
        shown = (await two.ask(sftp.Stat, "/limon/a")).attributes
        assert (shown.size, shown.mode) == (300_010, sftp.REGULAR | 0o600)
        assert await two.get("/limon/a") == b"x" * 300_000 + bytes(10)
        await one.ask(sftp.Remove, "/limon/a")
        await fleet.sleep(8)
        return sum(
            store.database.execute("select count(*) from objects").fetchone()[0]
            for store in fleet.stores.values()
        )

    assert run_fleet(steps)[1] == 0  # unreferenced objects were dropped


def test_a_long_directory_is_listed_in_pages(run_fleet):

    async def steps(fleet):
        one = await fleet.client(0)
        for first in range(0, 120, 30):
            await asyncio.gather(
                *(
                    one.ask(sftp.MkDir, f"/limon/{number:03}", NO_ATTRIBUTES)
                    for number in range(first, first + 30)
                )
            )
        return await one.list_directory("/limon")

    assert run_fleet(steps, unit=0.003)[1] == [f"{number:03}" for number in range(120)]


def test_statvfs_reports_the_total_space_of_the_nodes(run_fleet):
    async def steps(fleet):
        one = await fleet.client(0)
        reply = await one.ask(sftp.Extended, "statvfs@openssh.com", b"\0\0\0\6/limon")
        fields = [int.from_bytes(reply.data[offset : offset + 8], "big") for offset in range(0, 88, 8)]
        return fields[0] * fields[2], fields[0] * fields[3]

    total, free = run_fleet(steps, nodes=4, disk=1 << 20)[1]
    assert total == 4 << 20 and 0 < free <= total


def test_a_folder_is_served_only_by_its_edges(run_fleet, raw):
    raw["folders"]["limon"]["edges"] = [1]

    async def steps(fleet):
        one, two = await fleet.client(0), await fleet.client(1)
        with raises_status(sftp.PERMISSION_DENIED):
            await one.put("/limon/a", b"")
        await two.put("/limon/a", b"there")
        return "limon" in await one.list_directory("/")

    assert run_fleet(steps)[1] is False
