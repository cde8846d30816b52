"""A planner's settings for the replicated log, and the opening of its log file."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from random import Random

from rushmux.fleet import raft
from rushmux.planner.raft_storage import RaftStorage

FIRST_INCARNATION = "1"  # of every disk of a newly bootstrapped fleet
INCARNATION_BITS = 48


@dataclass(frozen=True)
class ReplicationSettings:
    """One planner's settings for taking part in the replicated log.

    Attributes:
        name: This planner's name.
        addresses: Host and port of all planners by name, including this one.
        log_path: The log file.
        random: Source of election timeouts and of a new disk's incarnation.
        bootstrap: Whether this start creates the fleet, all planners beginning with the same configuration.
    """

    name: str
    addresses: Mapping[str, tuple[str, int]]
    log_path: str | Path
    random: Random
    bootstrap: bool = False


def open_storage(settings: ReplicationSettings) -> RaftStorage:
    """Opens the log file, and creates it if there is none.

    Raises:
        RaftStorageError: The file is damaged, or held by another program.
        OSError: The disk failed.
    """
    storage = RaftStorage(settings.log_path, lambda: f"{settings.random.getrandbits(INCARNATION_BITS):012x}")
    if storage.is_new and settings.bootstrap:
        storage.incarnation = FIRST_INCARNATION
        members = [f"{name}/{FIRST_INCARNATION}" for name in settings.addresses]
        storage.create(raft.bootstrap(members))
    elif storage.is_new:
        # The other planners send the log once they have added this one to their configuration.
        storage.create(raft.PersistentState(0, None, raft.Snapshot(0, 0, (), b"")))
    return storage
