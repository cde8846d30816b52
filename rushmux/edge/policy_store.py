"""The fleet's policy on an edge's disk: the active one and a staged change, from one start to the next.

The file: magic, format, checksum and both policies as JSON, replaced atomically and synced.
"""

import json
import zlib
from pathlib import Path
from typing import NamedTuple

from rushmux import atomic_write
from rushmux.edge.errors import EdgeError
from rushmux.fleet import policy
from rushmux.settings import policy as documents
from rushmux.settings.deployment import Deployment, DeploymentError

MAGIC, FORMAT = "rushmux policy", 1
MAX_FILE_BYTES = 1 << 20  # two policies with room


class StoredPolicyError(EdgeError):
    """A stored policy that cannot be used.

    Attributes:
        path: The file.
    """

    def __init__(self, path: Path, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path


class PolicyFormatError(StoredPolicyError):
    """A program of another format wrote it; this one must not start on it, nor write over it.

    Attributes:
        format: The format of the file.
    """

    def __init__(self, path: Path, file_format: object):
        super().__init__(
            path, f"format {file_format}, this edge reads {FORMAT}: start the program that wrote it"
        )
        self.format = file_format


class StoredPolicies(NamedTuple):
    """The active policy and the staged one; None: there is none."""

    active: policy.Policy | None = None
    staged: policy.Policy | None = None


class PolicyStore:
    """The file."""

    def __init__(self, path: str | Path):
        self.path = Path(path)

    def load(self) -> StoredPolicies:
        """What the file holds; a file that is not there holds none.

        Raises:
            PolicyFormatError: Another format.
            StoredPolicyError: It cannot be read or is damaged: what the edge had accepted is unknown.
        """
        try:
            with open(self.path, "rb") as source:
                data = source.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return StoredPolicies()
        except OSError as error:
            raise StoredPolicyError(self.path, f"cannot be read: {error.strerror}") from error
        try:
            return self._decode(data)
        except (ValueError, TypeError, IndexError) as error:
            raise StoredPolicyError(self.path, f"damaged: {error}") from error

    def _decode(self, data: bytes) -> StoredPolicies:
        magic, file_format, checksum, body = json.loads(data)
        if magic != MAGIC or file_format != FORMAT:
            raise PolicyFormatError(self.path, file_format)
        if zlib.crc32(body.encode()) != checksum:
            raise ValueError("its checksum is wrong")
        return StoredPolicies(*map(policy.policy_from_json, json.loads(body)))

    def save(self, active: policy.Policy | None, staged: policy.Policy | None) -> None:
        """Writes both, synced; OSError where the disk does not take them."""
        body = json.dumps([policy.policy_to_json(active), policy.policy_to_json(staged)])
        content = json.dumps([MAGIC, FORMAT, zlib.crc32(body.encode()), body])
        atomic_write.replace_file(self.path, content.encode())


class InitialPolicy(NamedTuple):
    """The deployment that an edge starts on, and the policies that its disk held."""

    deployment: Deployment
    stored: StoredPolicies


def initial_policy(own: Deployment, store: PolicyStore, log) -> InitialPolicy:
    """The deployment of an edge's own file under the policy that its disk holds.

    A damaged policy counts as none: the edge serves nothing until a planner grants it one.

    Raises:
        PolicyFormatError: The edge must not start.
    """
    try:
        stored = store.load()
        if stored.active is None:
            return InitialPolicy(own, stored)
        source = f"policy {stored.active.version}"
        return InitialPolicy(documents.merge(own, stored.active.text, source), stored)
    except PolicyFormatError:
        raise
    except (StoredPolicyError, DeploymentError) as error:
        log.error("policy.load_failed", reason=str(error))
        return InitialPolicy(own, StoredPolicies())
