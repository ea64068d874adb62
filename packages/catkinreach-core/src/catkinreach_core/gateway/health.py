"""Which upstreams fail, from the requests sent to them.

Load pattern: an upstream passes its health check and fails, refuses, hangs
or slows a part of its requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import UpstreamId

FAILURE_WEIGHT = 0.35
"""Part of the failure rate that one outcome replaces."""

FORGET_HALF_LIFE_S = 3.0
"""Time in which half of a failure rate is forgotten without news."""

FAILURE_PENALTY = 12.0
"""Load that a failure rate of 1 is worth, as a factor."""

FIRST_PROBE_S = 0.3
LAST_PROBE_S = 2.0


@dataclass(slots=True)
class _Record:
    rate: float = 0.0
    at_s: float = 0.0
    is_down: bool = False
    probe_at_s: float = 0.0
    probe_gap_s: float = FIRST_PROBE_S
    is_replaced: bool = False


class HealthTable:
    """Failure rates and unreachable upstreams of one node."""

    def __init__(self) -> None:
        """Starts with all upstreams well."""
        self._records: dict[UpstreamId, _Record] = {}

    def note_success(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Counts a request that went well."""
        record = self._records.get(upstream_id)
        if record is None:
            return
        self._decay(record, now_s)
        record.rate *= 1 - FAILURE_WEIGHT
        record.is_down = record.is_replaced
        record.probe_gap_s = FIRST_PROBE_S

    def note_failure(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Counts a request that the upstream failed, refused or kept."""
        record = self._records.setdefault(upstream_id, _Record(at_s=now_s))
        self._decay(record, now_s)
        record.rate += (1 - record.rate) * FAILURE_WEIGHT

    def note_unreachable(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Takes an upstream out until a probe connects to it."""
        self.note_failure(upstream_id, now_s)
        record = self._records[upstream_id]
        if record.is_replaced:
            return
        if record.is_down:
            record.probe_gap_s = min(LAST_PROBE_S, 2 * record.probe_gap_s)
        record.is_down = True
        record.probe_at_s = now_s + record.probe_gap_s

    def note_replaced(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Takes an upstream out whose address belongs to another one now."""
        record = self._records.setdefault(upstream_id, _Record(at_s=now_s))
        record.is_down = True
        record.is_replaced = True

    def note_reachable(self, upstream_id: UpstreamId) -> None:
        """Takes an upstream back that accepted a connection."""
        record = self._records.get(upstream_id)
        if record is not None and not record.is_replaced:
            record.is_down = False
            record.probe_gap_s = FIRST_PROBE_S

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forgets the past life of an upstream."""
        self._records.pop(upstream_id, None)

    def is_down(self, upstream_id: UpstreamId) -> bool:
        """Tells whether an upstream couldn't be reached."""
        record = self._records.get(upstream_id)
        return record is not None and record.is_down

    def is_replaced(self, upstream_id: UpstreamId) -> bool:
        """Tells whether another upstream has the address of this one."""
        record = self._records.get(upstream_id)
        return record is not None and record.is_replaced

    def down(self) -> list[UpstreamId]:
        """Returns the upstreams that couldn't be reached."""
        return [
            one
            for one, record in self._records.items()
            if record.is_down and not record.is_replaced
        ]

    def replaced(self) -> list[UpstreamId]:
        """Returns the upstreams whose address belongs to another one."""
        return [
            one for one, record in self._records.items() if record.is_replaced
        ]

    def due_probes(self, now_s: float) -> tuple[UpstreamId, ...]:
        """Returns the unreachable upstreams to try now."""
        return tuple(
            upstream_id
            for upstream_id in self.down()
            if self._records[upstream_id].probe_at_s <= now_s
        )

    def penalty(self, upstream_id: UpstreamId, now_s: float) -> float:
        """Returns the factor, 1 or more, that makes an upstream dearer."""
        record = self._records.get(upstream_id)
        if record is None:
            return 1.0
        self._decay(record, now_s)
        return 1 + FAILURE_PENALTY * record.rate

    def _decay(self, record: _Record, now_s: float) -> None:
        age_s = now_s - record.at_s
        record.rate *= 0.5 ** (age_s / FORGET_HALF_LIFE_S)
        record.at_s = now_s


__all__ = ('HealthTable',)
