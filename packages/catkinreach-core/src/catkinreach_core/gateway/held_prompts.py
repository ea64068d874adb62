"""Which software versions of engines hold a stream's own part of its prompt.

Load pattern: all VMs were killed and come back while engines of two versions
serve, and nobody is left who has seen the streams begin.

An engine that ran a stream keeps the parts of its prompt for a while. If
engines of one version only hold the part that no other request has, that
version began the stream. If none does, or engines of two versions do, it isn't
known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import ServiceId, SoftwareVersion

HELD_S = 20.0
"""Time for which a part that was seen at an engine tells its version."""


class HeldPrompts:
    """Versions by the parts of prompts that engines listed."""

    def __init__(self) -> None:
        """Starts without answers of engines."""
        self._versions: dict[
            tuple[ServiceId, str], dict[SoftwareVersion, float]
        ] = {}

    def record(
        self,
        service_id: ServiceId,
        version: SoftwareVersion,
        parts: Collection[str],
        now_s: float,
    ) -> None:
        """Records the parts that an engine holds."""
        for part in parts:
            versions = self._versions.setdefault((service_id, part), {})
            versions[version] = now_s

    def find(self, service_id: ServiceId, part: str) -> SoftwareVersion | None:
        """Returns the version that a part was seen at, if it is only one."""
        versions = self._versions.get((service_id, part), {})
        return next(iter(versions)) if len(versions) == 1 else None

    def expire(self, now_s: float) -> None:
        """Drops what was seen long ago."""
        self._versions = {
            key: recent
            for key, versions in self._versions.items()
            if (
                recent := {
                    version: seen_s
                    for version, seen_s in versions.items()
                    if now_s - seen_s <= HELD_S
                }
            )
        }


__all__ = ('HeldPrompts',)
