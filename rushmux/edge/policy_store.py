"""The active and the staged policy of the fleet, kept on an edge's disk across restarts.

The file holds magic word, format, checksum and both policies as JSON, and is replaced atomically and synced.
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
MAX_FILE_BYTES = 1 << 20  # ample for two policies


class StoredPolicyError(EdgeError):
    """The stored policy cannot be used.

    Attributes:
        path: The file.
    """

    def __init__(self, path: Path, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path


class PolicyFormatError(StoredPolicyError):
    """The file has another program version's format, and must not be used or overwritten.

    Attributes:
        format: The format of the file.
    """

    def __init__(self, path: Path, file_format: object):
        super().__init__(
            path, f"format {file_format}, this edge reads {FORMAT}: run the program version that wrote it"
        )
        self.format = file_format


class StoredPolicies(NamedTuple):
    """The active and the staged policy, where they exist."""

    active: policy.Policy | None = None
    staged: policy.Policy | None = None


class PolicyStore:
    """Reads and writes the policy file."""

    def __init__(self, path: str | Path):
        self.path = Path(path)

    def load(self) -> StoredPolicies:
        """Reads the file; a missing file holds no policies.

        Raises:
            PolicyFormatError: The file has another format.
            StoredPolicyError: The file is unreadable or damaged: what the edge had accepted is unknown.
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
            raise ValueError("checksum mismatch")
        return StoredPolicies(*map(policy.policy_from_json, json.loads(body)))

    def save(self, active: policy.Policy | None, staged: policy.Policy | None) -> None:
        """Writes and syncs both policies; raises OSError if that fails."""
        body = json.dumps([policy.policy_to_json(active), policy.policy_to_json(staged)])
        content = json.dumps([MAGIC, FORMAT, zlib.crc32(body.encode()), body])
        atomic_write.replace_file(self.path, content.encode())


class InitialPolicy(NamedTuple):
    """The deployment that an edge starts with, and its stored policies."""

    deployment: Deployment
    stored: StoredPolicies


def initial_policy(own_deployment: Deployment, store: PolicyStore, log) -> InitialPolicy:
    """Merges the stored policy into the deployment of the edge's own file.

    A damaged policy is ignored; the edge then serves nothing until a planner grants it one.

    Raises:
        PolicyFormatError: The edge must not start.
    """
    try:
        stored = store.load()
        if stored.active is None:
            return InitialPolicy(own_deployment, stored)
        source = f"policy {stored.active.version}"
        return InitialPolicy(documents.merge(own_deployment, stored.active.text, source), stored)
    except PolicyFormatError:
        raise
    except (StoredPolicyError, DeploymentError) as error:
        log.error("policy.load_failed", reason=str(error))
        return InitialPolicy(own_deployment, StoredPolicies())
