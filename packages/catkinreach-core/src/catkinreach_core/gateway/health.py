"""Health of upstreams, judged by the requests sent to them.

Load pattern: an upstream passes its health check, but fails, refuses, hangs
or delays a part of its requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import UpstreamId

FAILURE_WEIGHT = 0.35
"""Weight of one outcome in the moving average of the failure rate."""

FAILURE_HALF_LIFE_S = 3.0
"""Half-life of a failure rate while no request is sent."""

FAILURE_PENALTY = 12.0
"""Increase of the cost factor at a failure rate of 1."""

MIN_PROBE_INTERVAL_S = 0.3
MAX_PROBE_INTERVAL_S = 2.0


@dataclass(slots=True)
class _Record:
    failure_rate: float = 0.0
    updated_at_s: float = 0.0
    is_down: bool = False
    down_since_s: float = 0.0
    next_probe_at_s: float = 0.0
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    is_replaced: bool = False


class HealthTable:
    """Failure rates and unreachable upstreams of one node."""

    def __init__(self) -> None:
        """Starts with all upstreams healthy."""
        self._records: dict[UpstreamId, _Record] = {}

    def record_success(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Records a request that succeeded."""
        record = self._records.get(upstream_id)
        if record is None:
            return
        self._decay(record, now_s)
        record.failure_rate *= 1 - FAILURE_WEIGHT
        record.is_down = record.is_replaced
        record.probe_interval_s = MIN_PROBE_INTERVAL_S

    def record_failure(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Records a request that failed, was refused or timed out."""
        record = self._records.setdefault(
            upstream_id, _Record(updated_at_s=now_s)
        )
        self._decay(record, now_s)
        record.failure_rate += (1 - record.failure_rate) * FAILURE_WEIGHT

    def record_unreachable(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Marks an upstream as down until a probe connects to it."""
        self.record_failure(upstream_id, now_s)
        record = self._records[upstream_id]
        if record.is_replaced:
            return
        if record.is_down:
            record.probe_interval_s = min(
                MAX_PROBE_INTERVAL_S, 2 * record.probe_interval_s
            )
        else:
            record.down_since_s = now_s
        record.is_down = True
        record.next_probe_at_s = now_s + record.probe_interval_s

    def record_replaced(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Marks an upstream as down: another one uses its address now."""
        record = self._records.setdefault(
            upstream_id, _Record(updated_at_s=now_s)
        )
        record.is_down = True
        record.is_replaced = True

    def record_reachable(self, upstream_id: UpstreamId) -> None:
        """Marks an upstream as up again, since it accepted a connection."""
        record = self._records.get(upstream_id)
        if record is not None and not record.is_replaced:
            record.is_down = False
            record.probe_interval_s = MIN_PROBE_INTERVAL_S

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drops the record of an earlier incarnation of an upstream."""
        self._records.pop(upstream_id, None)

    def forget_unreachable(self) -> None:
        """Forgets that upstreams were unreachable: the cause was this node."""
        for upstream_id in self.unreachable_upstreams():
            del self._records[upstream_id]

    def is_down(self, upstream_id: UpstreamId) -> bool:
        """Returns whether an upstream is unreachable or replaced."""
        record = self._records.get(upstream_id)
        return record is not None and record.is_down

    def went_down_before(self, upstream_id: UpstreamId, at_s: float) -> bool:
        """Returns whether an upstream that is down was so before a time."""
        record = self._records.get(upstream_id)
        return (
            record is not None and record.is_down and record.down_since_s < at_s
        )

    def is_replaced(self, upstream_id: UpstreamId) -> bool:
        """Returns whether another upstream uses the address of this one."""
        record = self._records.get(upstream_id)
        return record is not None and record.is_replaced

    def unreachable_upstreams(self) -> list[UpstreamId]:
        """Returns the upstreams that are down but not replaced."""
        return [
            upstream_id
            for upstream_id, record in self._records.items()
            if record.is_down and not record.is_replaced
        ]

    def replaced_upstreams(self) -> list[UpstreamId]:
        """Returns the upstreams whose address another one uses now."""
        return [
            upstream_id
            for upstream_id, record in self._records.items()
            if record.is_replaced
        ]

    def due_probes(self, now_s: float) -> tuple[UpstreamId, ...]:
        """Returns the unreachable upstreams whose next probe is due."""
        return tuple(
            upstream_id
            for upstream_id in self.unreachable_upstreams()
            if self._records[upstream_id].next_probe_at_s <= now_s
        )

    def penalty(self, upstream_id: UpstreamId, now_s: float) -> float:
        """Returns the cost factor, 1 or more, for recent failures."""
        record = self._records.get(upstream_id)
        if record is None:
            return 1.0
        self._decay(record, now_s)
        return 1 + FAILURE_PENALTY * record.failure_rate

    def _decay(self, record: _Record, now_s: float) -> None:
        age_s = now_s - record.updated_at_s
        record.failure_rate *= 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
        record.updated_at_s = now_s


__all__ = ('HealthTable',)
