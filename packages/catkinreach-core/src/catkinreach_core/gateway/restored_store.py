"""What a VM knew before the store was restored from an older copy.

Load pattern: the store comes back some seconds old while engines leave and
failure domains are evacuated. Its entries don't undo what a VM has seen: what
the copy lacks is written again within seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import FailureDomainId, UpstreamId
    from .upstream import Upstream

DEPARTED_FOR_S = 60.0
"""Time for which removed entries are remembered; copies are younger."""

_Incarnation: TypeAlias = 'tuple[UpstreamId, int]'


class RestoredStore:
    """Incarnations and failure domains that an older copy doesn't bring back.

    Attributes:
        unconfirmed: Evacuated failure domains that the copy lacks.
    """

    def __init__(self) -> None:
        """Starts before any restore."""
        self.unconfirmed: set[FailureDomainId] = set()
        self._departed: dict[_Incarnation, float] = {}
        self._held_back: set[_Incarnation] = set()

    def record_departure(self, upstream: Upstream, now_s: float) -> None:
        """Records that an entry was seen removed."""
        self._departed = {
            incarnation: at_s
            for incarnation, at_s in self._departed.items()
            if now_s < at_s + DEPARTED_FOR_S
        }
        self._departed[_incarnation(upstream)] = now_s

    def record_restore(
        self,
        draining: Iterable[Upstream],
        evacuated: Iterable[FailureDomainId],
    ) -> None:
        """Records a restore.

        Args:
            draining: Upstreams that were known to leave.
            evacuated: Failure domains that were evacuated.
        """
        self._held_back.update(self._departed, map(_incarnation, draining))
        self.unconfirmed.update(evacuated)

    def record_event(self, upstream: Upstream) -> None:
        """Records that an entry was written after the listing."""
        self._departed.pop(_incarnation(upstream), None)
        self._held_back.discard(_incarnation(upstream))

    def holds_back(self, upstream: Upstream) -> bool:
        """Returns whether a listed upstream was seen to leave before."""
        return _incarnation(upstream) in self._held_back


def _incarnation(upstream: Upstream) -> _Incarnation:
    return upstream.upstream_id, upstream.started_ms


__all__ = ('RestoredStore',)
