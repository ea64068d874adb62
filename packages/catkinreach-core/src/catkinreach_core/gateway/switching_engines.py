"""Engines that are about to change their stage, told from node to node."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import UpstreamId


class SwitchingEngines:
    """Engines that get no work until they are back with another stage."""

    def __init__(self) -> None:
        """Starts with none."""
        self._until_s: dict[UpstreamId, float] = {}

    def add(self, upstream_id: UpstreamId, left_s: float, now_s: float) -> None:
        """Takes an engine out for some seconds."""
        until_s = now_s + left_s
        self._until_s[upstream_id] = max(
            until_s, self._until_s.get(upstream_id, 0.0)
        )

    def remove(self, upstream_id: UpstreamId) -> None:
        """Takes an engine back, since its entry shows the new stage."""
        self._until_s.pop(upstream_id, None)

    def merge_peer(
        self, left: Mapping[UpstreamId, float], now_s: float
    ) -> None:
        """Takes what a peer told."""
        for upstream_id, left_s in left.items():
            known = self._until_s.get(upstream_id)
            if known is None:
                self.add(upstream_id, left_s, now_s)

    def current(self, now_s: float) -> frozenset[UpstreamId]:
        """Returns the engines that are out now."""
        for upstream_id, until_s in tuple(self._until_s.items()):
            if until_s <= now_s:
                del self._until_s[upstream_id]
        return frozenset(self._until_s)

    def remaining_s(self, now_s: float) -> dict[UpstreamId, float]:
        """Returns the seconds that each engine still is out."""
        return {one: self._until_s[one] - now_s for one in self.current(now_s)}


__all__ = ('SwitchingEngines',)
