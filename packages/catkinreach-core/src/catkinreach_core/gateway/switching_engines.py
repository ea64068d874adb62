"""Engines that change their stage, as gossiped between the nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import UpstreamId


class SwitchingEngines:
    """Engines that get no work until they are ready in their new stage."""

    def __init__(self) -> None:
        """Starts without engines."""
        self._until_s: dict[UpstreamId, float] = {}

    def add(
        self, upstream_id: UpstreamId, remaining_s: float, now_s: float
    ) -> None:
        """Marks an engine as switching for some seconds."""
        until_s = now_s + remaining_s
        self._until_s[upstream_id] = max(
            until_s, self._until_s.get(upstream_id, 0.0)
        )

    def remove(self, upstream_id: UpstreamId) -> None:
        """Ends the switch of an engine whose entry shows the new stage."""
        self._until_s.pop(upstream_id, None)

    def merge_peer(
        self, remaining: Mapping[UpstreamId, float], now_s: float
    ) -> None:
        """Adds the engines that a peer reported, if not yet marked here."""
        for upstream_id, remaining_s in remaining.items():
            known_until_s = self._until_s.get(upstream_id)
            if known_until_s is None:
                self.add(upstream_id, remaining_s, now_s)

    def current(self, now_s: float) -> frozenset[UpstreamId]:
        """Returns the engines that are switching now."""
        for upstream_id, until_s in tuple(self._until_s.items()):
            if until_s <= now_s:
                del self._until_s[upstream_id]
        return frozenset(self._until_s)

    def remaining_s(self, now_s: float) -> dict[UpstreamId, float]:
        """Returns the remaining seconds of each switch."""
        return {
            engine: self._until_s[engine] - now_s
            for engine in self.current(now_s)
        }


__all__ = ('SwitchingEngines',)
