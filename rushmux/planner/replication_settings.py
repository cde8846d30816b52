"""How a planner takes part in the replicated log, and the opening of its log's file."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from random import Random

from rushmux.fleet import raft
from rushmux.planner.raft_storage import RaftStorage

FIRST_INCARNATION = "1"  # of each disk of a fleet that is bootstrapped
INCARNATION_BITS = 48


@dataclass(frozen=True)
class ReplicationSettings:
    """One planner's place among all planners of a fleet.

    Attributes:
        name: this planner's name.
        addresses: name -> (host, port) of all planners, this one among them.
        log_path: the file of its log.
        random: draws election timeouts, and the incarnation of a new disk.
        bootstrap: whether this start founds the fleet: all planners begin with the same configuration.
    """

    name: str
    addresses: Mapping[str, tuple[str, int]]
    log_path: str | Path
    random: Random
    bootstrap: bool = False


def open_storage(settings: ReplicationSettings) -> RaftStorage:
    """Opens the log's file, and makes it where there is none.

    Raises:
        RaftStorageError: the file cannot be used.
        OSError: the disk fails.
    """
    storage = RaftStorage(settings.log_path, lambda: f"{settings.random.getrandbits(INCARNATION_BITS):012x}")
    if storage.is_new and settings.bootstrap:
        storage.incarnation = FIRST_INCARNATION
        members = [f"{name}/{FIRST_INCARNATION}" for name in settings.addresses]
        storage.create(raft.bootstrap(members))
    elif storage.is_new:
        # The other planners send it the log once they have added it to their configuration.
        storage.create(raft.PersistentState(0, None, raft.Snapshot(0, 0, (), b"")))
    return storage
