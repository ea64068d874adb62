"""Baseline policy: the upstream that reports the least load."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from msgspec import Struct

from .policy import Placement, PlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..ids import UpstreamId
    from ..settings.fleet import Upstream
    from .policy import WorkItem


class LoadReport(Struct, frozen=True):
    """Load that an engine reports, with some delay."""

    running: int
    waiting: int
    places: int


class LeastLoadPolicy(PlacementPolicy):
    """Takes the lowest reported load; equal ones in turn."""

    def __init__(self) -> None:
        """Starts without a report, which counts as no load."""
        self._loads: dict[UpstreamId, float] = {}
        self._turn = itertools.count()

    @property
    def report_count(self) -> int:
        """Returns the number of upstreams that have reported."""
        return len(self._loads)

    def record_report(
        self, upstream_id: UpstreamId, report: LoadReport
    ) -> None:
        """Keeps the newest report of an upstream."""
        busy = report.running + report.waiting
        self._loads[upstream_id] = busy / max(1, report.places)

    def place(
        self,
        work: WorkItem,  # noqa: ARG002 - part of the protocol
        prefill: Sequence[Upstream],
        decode: Sequence[Upstream],
    ) -> Placement | None:
        """Returns the least loaded upstream of either pool."""
        if not prefill or not decode:
            return None
        return Placement(self._least(prefill), self._least(decode))

    def _least(self, upstreams: Sequence[Upstream]) -> UpstreamId:
        turn = next(self._turn) % len(upstreams)
        in_turn = (*upstreams[turn:], *upstreams[:turn])
        return min(
            (upstream.upstream_id for upstream in in_turn),
            key=lambda upstream_id: self._loads.get(upstream_id, 0.0),
        )


__all__ = ('LeastLoadPolicy', 'LoadReport')
