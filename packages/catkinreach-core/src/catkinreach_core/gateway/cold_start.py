"""Pace of requests to cold upstreams.

Load pattern: upstreams return cold while the others are full, so that
every node would send them all it has.

All nodes together may send a cold upstream its rate; each node takes an
equal share of it as a token bucket that holds at least one request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import UpstreamId

RATE_USE = 0.9
"""Part of a cold upstream's rate that the nodes share out."""


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at_s: float


class ColdPacer:
    """Token buckets of one node, one for each cold upstream."""

    def __init__(self) -> None:
        """Starts without cold upstreams."""
        self._buckets: dict[UpstreamId, _Bucket] = {}

    def has_room(
        self, upstream_id: UpstreamId, per_s: float, members: int, now_s: float
    ) -> bool:
        """Tells whether a cold upstream may get a request now."""
        return self._refill(upstream_id, per_s, members, now_s).tokens >= 1

    def spend(self, upstream_id: UpstreamId) -> None:
        """Counts a request that is sent to a cold upstream."""
        bucket = self._buckets.get(upstream_id)
        if bucket is not None:
            bucket.tokens -= 1

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forgets an upstream that is warm or gone."""
        self._buckets.pop(upstream_id, None)

    def _refill(
        self, upstream_id: UpstreamId, per_s: float, members: int, now_s: float
    ) -> _Bucket:
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            bucket = self._buckets[upstream_id] = _Bucket(1.0, now_s)
            return bucket
        rate = per_s * RATE_USE / max(1, members)
        gained = (now_s - bucket.at_s) * rate
        bucket.tokens = min(1.0, bucket.tokens + gained)
        bucket.at_s = now_s
        return bucket


__all__ = ('RATE_USE', 'ColdPacer')
