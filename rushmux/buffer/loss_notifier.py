"""Tells handles that buffered writes of their files were discarded, and logs when all were told."""

from __future__ import annotations

import asyncio
from typing import Protocol

from rushmux.buffer import journal
from rushmux.buffer.buffered_files import BufferedFile
from rushmux.buffer.errors import WritesDiscardedError
from rushmux.buffer.write_ahead_log import WriteAheadLog
from rushmux.edge.errors import RequestRejectedError
from rushmux.edge.file_view import FileView
from rushmux.sftp import packets as sftp

NOTIFICATION_DELAY = 1.0
"""Seconds after which an answer has surely been sent."""


class Handle(Protocol):
    """An open handle of a file.

    Attributes:
        buffered_file: The file's state, as returned by `WriteBack.open_handle`.
        view: The handle's cached rows of the file.
    """

    buffered_file: BufferedFile
    view: FileView


def loss_reply(error: WritesDiscardedError) -> RequestRejectedError:
    """Returns the error that a client gets for a loss."""
    return RequestRejectedError(sftp.FAILURE, f"written before and lost: {error}")


class LossNotifier:
    """Tells handles of losses.

    Args:
        loop: The event loop.
        wal: The log, which must know what no client has to be told after a crash.

    Attributes:
        pending_records: Timers that log that all handles of a file were told, by folder and file id.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, wal: WriteAheadLog):
        self.loop = loop
        self.wal = wal
        self.pending_records: dict[tuple[str, str], asyncio.TimerHandle] = {}

    def raise_loss(self, handle: Handle) -> None:
        """Raises RequestRejectedError if a handle has to be told of a loss."""
        file = handle.buffered_file
        error = file.losses.take_error(handle)
        if error is None:
            return
        self.cancel_record(file)
        if file.losses.error is None:  # every handle that has to be told was told
            # Logged only when the answer has surely been sent: after a crash better notify twice than never.
            record = journal.NotifiedRecord(file.folder, file.file_id)
            self.pending_records[file.folder, file.file_id] = self.loop.call_later(
                NOTIFICATION_DELAY, self._log, record
            )
        raise loss_reply(error)

    def cancel_record(self, file: BufferedFile) -> None:
        """Cancels the record that all handles were told, which would cover a new loss."""
        timer = self.pending_records.pop((file.folder, file.file_id), None)
        if timer is not None:
            timer.cancel()

    def _log(self, record: journal.NotifiedRecord) -> None:
        self.pending_records.pop((record.folder, record.file))
        self.wal.append(record)
        self.wal.commit()
