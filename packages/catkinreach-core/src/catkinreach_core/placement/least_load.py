"""Baseline policy: the upstream that reports the least load."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from msgspec import Struct

from ..json_ranges import Count
from .policy import Placement, PlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..ids import UpstreamId
    from ..settings.fleet import Upstream
    from .policy import WorkItem


class LoadReport(Struct, frozen=True):
    """Load that an engine reports, with some delay."""

    running: Count
    waiting: Count
    places: Count


class LeastLoadPolicy(PlacementPolicy):
    """Chooses the upstream with the lowest reported load, ties in turn."""

    def __init__(self) -> None:
        """Starts without reports; an upstream without one has load 0."""
        self._loads: dict[UpstreamId, float] = {}
        self._turn = itertools.count()

    @property
    def report_count(self) -> int:
        """Returns the number of upstreams that have reported."""
        return len(self._loads)

    def record_report(
        self, upstream_id: UpstreamId, report: LoadReport
    ) -> None:
        """Stores the newest load report of an upstream."""
        in_flight = report.running + report.waiting
        self._loads[upstream_id] = in_flight / max(1, report.places)

    def place(
        self,
        work: WorkItem,  # noqa: ARG002 - part of the protocol
        prefill: Sequence[Upstream],
        decode: Sequence[Upstream],
    ) -> Placement | None:
        """Returns the least loaded upstream of each pool."""
        if not prefill or not decode:
            return None
        return Placement(
            self._least_loaded(prefill), self._least_loaded(decode)
        )

    def _least_loaded(self, upstreams: Sequence[Upstream]) -> UpstreamId:
        turn = next(self._turn) % len(upstreams)
        in_turn = (*upstreams[turn:], *upstreams[:turn])
        return min(
            (upstream.upstream_id for upstream in in_turn),
            key=lambda upstream_id: self._loads.get(upstream_id, 0.0),
        )


__all__ = ('LeastLoadPolicy', 'LoadReport')
