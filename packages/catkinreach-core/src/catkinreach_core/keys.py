"""Which workspace a caller's key belongs to."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .ids import WorkspaceId
    from .settings.fleet import FleetSettings


def key_digest(key: str) -> str:
    """Returns the lower-case hex SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyRing:
    """The keys in force under one revision of the settings."""

    def __init__(self, workspaces: dict[str, WorkspaceId]) -> None:
        """Sets up the ring from digest to workspace."""
        self._workspaces = workspaces

    @classmethod
    def from_settings(cls, settings: FleetSettings) -> KeyRing:
        """Collects the digests of every workspace."""
        return cls(
            {
                digest: workspace.workspace_id
                for workspace in settings.workspaces.values()
                for digest in workspace.key_digests
            }
        )

    def workspace_of(self, key: str) -> WorkspaceId | None:
        """Returns the workspace that holds the key, if any does.

        The look-up compares digests, so its timing tells nothing of a key.
        """
        return self._workspaces.get(key_digest(key))


def key_matches_digest(key: str, digest: str) -> bool:
    """Compares a key with a digest in constant time."""
    return hmac.compare_digest(key_digest(key), digest)


__all__ = ('KeyRing', 'key_digest', 'key_matches_digest')
