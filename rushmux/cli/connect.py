"""`rushmux connect`: a relay to an edge."""

import asyncio
import contextlib
import sys

import click

from rushmux.cli.parameters import Address, AddressParameter

READ_SIZE = 1 << 16


@click.command("connect")
@click.argument("address", metavar="PLACE", type=AddressParameter())
def connect(address: Address) -> None:
    """Relays standard input and output to an edge, for clients that connect through a command."""
    asyncio.run(_relay(address))


async def _relay(address: Address) -> None:
    """Copies data in both directions until the edge closes."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError as error:
        raise click.ClickException(f"{address[0]}:{address[1]}: {error.strerror or error}") from error
    loop, standard_input = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(standard_input), sys.stdin)
    sending = loop.create_task(_send(standard_input, writer))
    with contextlib.suppress(OSError):
        await _receive(reader)
    sending.cancel()


async def _send(source: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await source.read(READ_SIZE):
        writer.write(data)
        await writer.drain()
    writer.write_eof()


async def _receive(reader: asyncio.StreamReader) -> None:
    while data := await reader.read(READ_SIZE):
        sys.stdout.buffer.write(data)
        sys.stdout.buffer.flush()
