"""Which software versions of engines hold a stream's own part of its prompt.

Load pattern: all VMs were killed and come back while engines of two versions
serve, and nobody is left who has seen the streams begin.

An engine that ran a stream keeps the parts of its prompt for a while. If
engines of one version only hold the part that no other request has, that
version began the stream. If none does, or engines of two versions do, it isn't
known.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..ids import ServiceId, SoftwareVersion

_Key = TypeVar('_Key')

HELD_S = 20.0
"""Time for which a part that was seen at an engine tells its version."""


MAX_KEPT_PARTS = 16_384
"""Parts up to which those that nobody asked for yet are kept."""


class HeldPrompts:
    """Versions of the engines that list parts which streams need.

    Engines list many parts; only those that were asked for are kept, and at the
    start a bounded number of all.
    """

    def __init__(self) -> None:
        """Starts without answers of engines."""
        self._needed_s: dict[tuple[ServiceId, str], float] = {}
        self._versions: dict[
            tuple[ServiceId, str], dict[SoftwareVersion, float]
        ] = {}

    def need(self, service_id: ServiceId, part: str, now_s: float) -> None:
        """Keeps what is recorded of a part from now on."""
        key = (service_id, part)
        self._needed_s[key] = now_s
        self._versions.setdefault(key, {})

    def need_all(
        self, service_id: ServiceId, parts: Iterable[str], now_s: float
    ) -> None:
        """Keeps what is recorded of these parts, as far as there is room."""
        room = max(0, MAX_KEPT_PARTS - len(self._needed_s))
        for part in islice(parts, room):
            self.need(service_id, part, now_s)

    def record(
        self,
        service_id: ServiceId,
        version: SoftwareVersion,
        parts: Collection[str],
        now_s: float,
    ) -> None:
        """Records the parts that an engine holds."""
        for part in parts:
            versions = self._versions.get((service_id, part))
            if versions is not None:
                versions[version] = now_s

    def find(self, service_id: ServiceId, part: str) -> SoftwareVersion | None:
        """Returns the version that a part was seen at, if it is only one."""
        versions = self._versions.get((service_id, part), {})
        return next(iter(versions)) if len(versions) == 1 else None

    def expire(self, now_s: float) -> None:
        """Drops what was needed, or seen, long ago."""
        self._needed_s = _recent(self._needed_s, now_s)
        self._versions = {
            key: _recent(self._versions[key], now_s) for key in self._needed_s
        }


def _recent(times_s: dict[_Key, float], now_s: float) -> dict[_Key, float]:
    return {
        key: time_s
        for key, time_s in times_s.items()
        if now_s - time_s <= HELD_S
    }


__all__ = ('HeldPrompts',)
