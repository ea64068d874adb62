"""What peers say of upstreams that leave, or that asked them for a pause.

Load pattern: an engine asks every VM of a large fleet for the same pause, so
that each would pay a refusal.

A peer's report only makes an upstream less preferred, for a short time: the
peer may be wrong, or the upstream may have asked only the peer for a pause.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct

from .availability import Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..ids import UpstreamId
    from .availability import Availability
    from .upstream import Upstream

MAX_REPORTS = 28
"""Upstreams that one message tells of; later messages tell of the others."""

REPORT_S = 2.0
"""Longest time for which a report has an effect."""

REST_S = 8.0
"""Time after a report's start, beyond ``REPORT_S``, in which further ones about
the same incarnation have no effect: no peer can keep a sound upstream idle."""

REPORT_PENALTY = 12.0
"""Increase of the cost factor by a report; it decays in ``REPORT_S``."""

MS_PER_S = 1000


class AvailabilityReport(Struct, array_like=True, frozen=True):
    """What a node believes of an upstream, from the upstream's own answers.

    Attributes:
        started_ms: Start of the upstream's incarnation, in Unix milliseconds.
        remaining_ms: Rest of its pause in milliseconds; ``None`` if it leaves.
    """

    started_ms: int
    remaining_ms: int | None


class _Effect(NamedTuple):
    """Time in which a report has an effect."""

    from_s: float
    until_s: float


def make_reports(
    availability: Availability, upstreams: Iterable[Upstream], now_s: float
) -> dict[UpstreamId, AvailabilityReport]:
    """Returns what a node tells its peers about some upstreams."""
    reports: dict[UpstreamId, AvailabilityReport] = {}
    for upstream in upstreams:
        remaining_ms = round(availability.pause_s(upstream, now_s) * MS_PER_S)
        if availability.is_leaving(upstream):
            report = AvailabilityReport(upstream.started_ms, None)
        elif remaining_ms:
            report = AvailabilityReport(upstream.started_ms, remaining_ms)
        else:
            continue
        reports[upstream.upstream_id] = report
    return reports


class PeerAvailability:
    """Upstreams that are less preferred because of a peer's report."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._effects: dict[Incarnation, _Effect] = {}

    def record(
        self, upstream: Upstream, report: AvailabilityReport, now_s: float
    ) -> bool:
        """Records a report; returns whether it has an effect.

        It has none on another incarnation, or soon after an earlier report.
        """
        self._drop_old(now_s)
        incarnation = Incarnation.from_upstream(upstream)
        if report.started_ms != upstream.started_ms:
            return False
        if incarnation in self._effects:
            return False
        effect_s = REPORT_S
        if report.remaining_ms is not None:
            effect_s = min(REPORT_S, report.remaining_ms / MS_PER_S)
        if effect_s <= 0:
            return False
        self._effects[incarnation] = _Effect(now_s, now_s + effect_s)
        return True

    def remaining_s(self, upstream: Upstream, now_s: float) -> float:
        """Returns for how long a report still has an effect; 0 for none."""
        if not self._effects:
            return 0.0
        effect = self._effects.get(Incarnation.from_upstream(upstream))
        return 0.0 if effect is None else max(0.0, effect.until_s - now_s)

    def penalty(self, upstream: Upstream, now_s: float) -> float:
        """Returns the cost factor, 1 or more, for a peer's report."""
        remaining_s = self.remaining_s(upstream, now_s)
        return 1 + REPORT_PENALTY * remaining_s / REPORT_S

    def make_reports(
        self, upstreams: Iterable[Upstream], now_s: float
    ) -> dict[UpstreamId, AvailabilityReport]:
        """Returns the rest of the effects, for nodes that ask this one."""
        return {
            upstream.upstream_id: AvailabilityReport(
                upstream.started_ms, round(remaining_s * MS_PER_S)
            )
            for upstream in upstreams
            if (remaining_s := self.remaining_s(upstream, now_s))
        }

    def _drop_old(self, now_s: float) -> None:
        """Drops reports about whose upstreams new ones may have an effect."""
        self._effects = {
            incarnation: effect
            for incarnation, effect in self._effects.items()
            if now_s < effect.from_s + REPORT_S + REST_S
        }


def bound_reports(
    reports: Mapping[UpstreamId, AvailabilityReport],
    order: Iterable[UpstreamId],
) -> dict[UpstreamId, AvailabilityReport]:
    """Returns as many reports as one message holds, the first in an order."""
    return {
        upstream_id: reports[upstream_id]
        for upstream_id in tuple(order)[:MAX_REPORTS]
    }


__all__ = (
    'MAX_REPORTS',
    'REPORT_S',
    'REST_S',
    'AvailabilityReport',
    'PeerAvailability',
    'bound_reports',
    'make_reports',
)
