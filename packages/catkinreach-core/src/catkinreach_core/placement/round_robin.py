"""Baseline policy: round robin over each pool, without regard to load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .policy import Placement, PlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..settings.fleet import Upstream
    from .policy import WorkItem


class RoundRobinPolicy(PlacementPolicy):
    """Chooses the upstreams of each pool in turn."""

    def __init__(self) -> None:
        """Starts at the first upstream of each pool."""
        self._count = 0

    def place(
        self,
        work: WorkItem,  # noqa: ARG002 - part of the protocol
        prefill: Sequence[Upstream],
        decode: Sequence[Upstream],
    ) -> Placement | None:
        """Returns the next upstream of each pool."""
        if not prefill or not decode:
            return None
        placement = Placement(
            prefill=prefill[self._count % len(prefill)].upstream_id,
            decode=decode[self._count % len(decode)].upstream_id,
        )
        self._count += 1
        return placement


__all__ = ('RoundRobinPolicy',)
