"""Options that all server commands share, and a function that runs a server until it is stopped."""

import asyncio
import functools
import io
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import click
import orjson

from rushmux import log
from rushmux.cli.parameters import EXAMPLE, Address, AddressParameter
from rushmux.supervision import Supervisor

EXIT_TASK_FAILED = 70
"""Exit code after an internal error (EX_SOFTWARE of sysexits.h)."""
LEVELS = click.Choice(sorted(log.LEVELS))


class Server(Protocol):
    """A process of a fleet that listens on an address."""

    async def open(self, host: str, port: int) -> int:
        """Starts listening and returns the port, which the system chooses if `port` is 0."""

    async def close(self) -> None:
        """Shuts down gracefully."""


@dataclass(frozen=True)
class ServerOptions:
    """The options that every server takes."""

    deployment_file: str
    listen: Address
    seed: int | None
    records: str | None
    log_level: str
    with_parent: bool

    def logger(self) -> Any:
        """Returns the server's structured logger, which writes to standard error."""
        return log.to_stream(sys.stderr.buffer, self.log_level)


def server_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the common options to a command, which gets them as its first argument."""

    @functools.wraps(command)
    def with_options(
        *,
        file: str,
        listen: Address,
        seed: int | None,
        records: str | None,
        log_level: str,
        with_parent: bool,
        **own_options: Any,
    ) -> None:
        command(ServerOptions(file, listen, seed, records, log_level, with_parent), **own_options)

    decorated: Callable[..., None] = with_options
    for option in (
        click.option(
            "--deployment", "file", type=click.Path(), default=str(EXAMPLE), show_default="the example"
        ),
        click.option("--listen", type=AddressParameter(), default="127.0.0.1:0", show_default=True),
        click.option("--seed", type=int, help="seed of its random numbers; must differ at every start"),
        click.option(
            "--records", type=click.Path(), help="record what passes through its sockets in this file"
        ),
        click.option("--log-level", type=LEVELS, default="info", show_default=True),
        click.option("--with-parent", is_flag=True, help="end when standard input closes"),
    ):
        decorated = option(decorated)
    return decorated


def open_recorder(path: str | None, loop: asyncio.AbstractEventLoop) -> Callable[..., None]:
    """Returns a function that appends a row to the recording.

    Each row is written whole and unbuffered, so that a kill loses none.

    Args:
        path: The recording's file; None: rows are dropped.
        loop: Its clock gives the rows' times.
    """
    if path is None:
        return lambda kind, **fields: None
    sink = io.FileIO(path, "ab")

    def record(kind: str, **fields: Any) -> None:
        sink.write(orjson.dumps({"kind": kind, "at": loop.time(), **fields}) + b"\n")

    return record


async def serve(
    server: Server, options: ServerOptions, supervisor: Supervisor | None = None, **announced: Any
) -> None:
    """Opens a server, prints its port, and closes it on SIGTERM, SIGINT or when its parent ends.

    Args:
        server: The server to run.
        options: Its address, and whether it ends with its parent.
        supervisor: Supervisor of the server's tasks, if some of them are essential.
        announced: Additional fields of the printed line.

    Raises:
        click.ClickException: The server cannot listen on the address.
        SystemExit: An essential task failed; the code is EXIT_TASK_FAILED.
    """
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    failed_tasks: list[str] = []
    if supervisor is not None:

        def on_failure(name: str) -> None:
            failed_tasks.append(name)
            ended.set()

        supervisor.on_failure = on_failure
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    parent_watch = await _watch_parent(ended) if options.with_parent else None
    host, port = options.listen
    try:
        bound_port = await server.open(host, port)
    except OSError as error:
        raise click.ClickException(f"cannot listen on {host}:{port}: {error.strerror}") from error
    click.echo(orjson.dumps({"port": bound_port, **announced}))
    await ended.wait()
    await server.close()
    if parent_watch is not None:
        parent_watch.cancel()
    if failed_tasks:
        raise SystemExit(EXIT_TASK_FAILED)


async def _watch_parent(ended: asyncio.Event) -> asyncio.Task:
    """Sets the event when standard input closes, which the parent holds open until it ends."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    watch = loop.create_task(reader.read(1))
    watch.add_done_callback(lambda _: ended.set())
    return watch
