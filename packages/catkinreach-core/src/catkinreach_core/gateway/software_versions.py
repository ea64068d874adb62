"""Which software versions of engines a VM has seen serve.

Load pattern: engines of several versions serve side by side during a release,
or one version has just replaced another.

A stream may only go on at the version that began it. Where a VM has watched a
service for longer than streams live and saw a single version, that is the
version of all its streams.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import ServiceId, SoftwareVersion

STREAM_LIFETIME_S = 30.0
"""Longest time from a stream's start to a caller's last try to resume it."""


class SoftwareVersions:
    """When each version of each service was last listed."""

    def __init__(self) -> None:
        """Starts without a view of the store."""
        self._watched_since_s = math.inf
        self._is_watching = True
        self._last_seen_s: dict[ServiceId, dict[SoftwareVersion, float]] = {}

    def pause(self) -> None:
        """Notes that the store is lost: other versions may begin to serve."""
        self._is_watching = False

    def go_on(self) -> None:
        """Notes that the store is read again."""
        self._is_watching = True

    def restart(self, now_s: float) -> None:
        """Notes that what was listed until now may have been missed."""
        self._watched_since_s = now_s

    def note(
        self, service_id: ServiceId, version: SoftwareVersion, now_s: float
    ) -> None:
        """Notes that an engine of a version is listed, or was until now."""
        self._watched_since_s = min(self._watched_since_s, now_s)
        self._last_seen_s.setdefault(service_id, {})[version] = now_s

    def sole_version(
        self,
        service_id: ServiceId,
        listed: set[SoftwareVersion],
        now_s: float,
    ) -> SoftwareVersion | None:
        """Returns the only version that streams can have begun at, if known.

        Args:
            service_id: Service of the streams.
            listed: Versions of the engines that are listed now.
            now_s: Monotonic clock.
        """
        begins_s = now_s - STREAM_LIFETIME_S
        if not self._is_watching or self._watched_since_s > begins_s:
            return None
        last_seen_s = self._last_seen_s.get(service_id, {})
        for version in tuple(last_seen_s):
            if version not in listed and last_seen_s[version] < begins_s:
                del last_seen_s[version]
        possible = listed | last_seen_s.keys()
        return possible.pop() if len(possible) == 1 else None


__all__ = ('STREAM_LIFETIME_S', 'SoftwareVersions')
