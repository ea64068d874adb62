"""Rate limits for requests to upstreams that several nodes share.

Load pattern: upstreams come back cold while the others are full, or are in
need, and every node would send them all of its requests.

The rate of an upstream holds for all nodes together; each node that sends
gets an equal part of it as a token bucket with a capacity of one request. In a
large fleet the buckets start at random levels, so that the nodes don't all
send their first request at the same moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import UpstreamId

RATE_USE = 0.9
"""Fraction of an upstream's rate that the nodes divide."""

MAX_NODES_WITH_FULL_BUCKETS = 9
"""Largest fleet in which all buckets start full, although each of its nodes may
then send a request at the same moment."""


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at_s: float


class SharedRateLimiter:
    """Token buckets of one node, one per upstream."""

    def __init__(
        self,
        random_level: Callable[[], float],
        *,
        max_nodes_with_full_buckets: int = MAX_NODES_WITH_FULL_BUCKETS,
    ) -> None:
        """Starts without upstreams.

        Args:
            random_level: Returns random numbers from 0 to 1.
            max_nodes_with_full_buckets: Most nodes whose buckets start full.
        """
        self._random_level = random_level
        self._max_nodes_with_full_buckets = max_nodes_with_full_buckets
        self._buckets: dict[UpstreamId, _Bucket] = {}

    def allows_request(
        self,
        upstream_id: UpstreamId,
        rate_per_s: float,
        members: int,
        now_s: float,
    ) -> bool:
        """Returns whether an upstream may get a request now."""
        return self._refill(upstream_id, rate_per_s, members, now_s).tokens >= 1

    def wait_s(
        self,
        upstream_id: UpstreamId,
        rate_per_s: float,
        members: int,
        now_s: float,
    ) -> float:
        """Returns the time until an upstream may get one more request.

        Requests that are counted already but wait for their time come first.
        """
        bucket = self._refill(upstream_id, rate_per_s, members, now_s)
        missing = max(0.0, 1.0 - bucket.tokens)
        return missing / _own_rate_per_s(rate_per_s, members)

    def spend(self, upstream_id: UpstreamId) -> None:
        """Counts a request that is sent to an upstream."""
        bucket = self._buckets.get(upstream_id)
        if bucket is not None:
            bucket.tokens -= 1

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drops the bucket of a removed or restarted upstream."""
        self._buckets.pop(upstream_id, None)

    def _refill(
        self,
        upstream_id: UpstreamId,
        rate_per_s: float,
        members: int,
        now_s: float,
    ) -> _Bucket:
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            starts_full = members <= self._max_nodes_with_full_buckets
            tokens = 1.0 if starts_full else self._random_level()
            bucket = self._buckets[upstream_id] = _Bucket(tokens, now_s)
            return bucket
        own_rate_per_s = _own_rate_per_s(rate_per_s, members)
        refilled = (now_s - bucket.refilled_at_s) * own_rate_per_s
        bucket.tokens = min(1.0, bucket.tokens + refilled)
        bucket.refilled_at_s = now_s
        return bucket


def _own_rate_per_s(rate_per_s: float, members: int) -> float:
    """Returns a node's part of a rate."""
    return rate_per_s * RATE_USE / max(1, members)


__all__ = ('RATE_USE', 'SharedRateLimiter')
