"""Tests of the workspace limiter and of the owner's bucket."""

from __future__ import annotations

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import Incarnation, VmId, WorkspaceId
from catkinreach_core.limits.bucket import LimitBucket, SliceHolder
from catkinreach_core.limits.limiter import Cost, WorkspaceLimiter
from catkinreach_core.limits.parameters import (
    SLICE_EXPIRY_S,
    SLICE_LIFETIME_S,
    UnitLimit,
    WorkspaceLimits,
)
from catkinreach_core.messages.limits import Slice, SliceGrant, SliceNeed

LIMITS = WorkspaceLimits(requests=UnitLimit(5, 10), tokens=UnitLimit(100, 300))


@pytest.fixture
def limiter() -> WorkspaceLimiter:
    return WorkspaceLimiter(WorkspaceId('sunday-bee'), Incarnation('a'), LIMITS)


def _grant(
    limiter: WorkspaceLimiter,
    now_s: float,
    *,
    requests: float,
    tokens: float,
    ready_in_s: float = 0.0,
) -> None:
    slice_request = limiter.next_slice_request(now_s)
    assert slice_request is not None
    slices = (
        Slice(granted=requests, ready_in_s=ready_in_s),
        Slice(granted=tokens),
    )
    limiter.on_grant(
        SliceGrant(term=1, sequence=slice_request.sequence, slices=slices),
        now_s,
    )


def test_slice_expires_while_the_node_is_paused(
    limiter: WorkspaceLimiter,
) -> None:
    limiter.try_admit(1, Cost(1, 10), 0)
    limiter.enqueue(1, Cost(1, 10), 0)
    _grant(limiter, 0, requests=5, tokens=100)
    assert [decision.number for decision in limiter.resolve_queued(0)] == [1]
    assert limiter.try_admit(2, Cost(1, 10), SLICE_LIFETIME_S - 0.01)
    assert not limiter.try_admit(3, Cost(1, 10), SLICE_LIFETIME_S)


def test_refusal_over_the_rate_says_when_to_retry(
    limiter: WorkspaceLimiter,
) -> None:
    for number in range(10):
        limiter.enqueue(number, Cost(1, 0), 0)
    _grant(limiter, 0, requests=0, tokens=0, ready_in_s=0.2)
    refusals = [decision.refusal for decision in limiter.resolve_queued(0)]
    assert len(refusals) == 5
    assert refusals[-1] is not None
    assert refusals[-1].kind is ErrorKind.RATE_LIMITED
    assert refusals[-1].retry_after_s == pytest.approx(6 / 5, abs=0.01)


def test_cost_above_the_burst_is_refused_at_once(
    limiter: WorkspaceLimiter,
) -> None:
    with pytest.raises(CatkinreachError, match='more than the burst'):
        limiter.enqueue(1, Cost(1, 301), 0)


def test_unused_tokens_are_refunded_once(limiter: WorkspaceLimiter) -> None:
    limiter.enqueue(1, Cost(1, 100), 0)
    _grant(limiter, 0, requests=5, tokens=100)
    limiter.resolve_queued(0)
    limiter.settle(1, 60, 0.1)
    assert limiter.free(0.1)[1] == 60
    limiter.settle(1, 60, 0.1)
    assert limiter.free(0.1)[1] == 60


def test_units_for_a_queued_request_are_not_returned(
    limiter: WorkspaceLimiter,
) -> None:
    limiter.try_admit(1, Cost(1, 100), 0)
    limiter.enqueue(1, Cost(1, 100), 0)
    _grant(limiter, 0, requests=1, tokens=0, ready_in_s=0.2)
    assert not limiter.resolve_queued(0.9)
    slice_request = limiter.next_slice_request(0.9)
    assert slice_request is not None
    assert (slice_request.needs[0].returned, slice_request.needs[0].held) == (
        0,
        1,
    )


def test_queued_request_is_refused_after_its_owner_is_lost(
    limiter: WorkspaceLimiter,
) -> None:
    limiter.enqueue(1, Cost(1, 1), 0)
    slice_request = limiter.next_slice_request(0)
    assert slice_request is not None
    limiter.on_failure(slice_request.sequence, 0.3)
    assert not limiter.resolve_queued(9)
    (decision,) = limiter.resolve_queued(11)
    assert decision.refusal is not None
    assert decision.refusal.kind is ErrorKind.NO_OWNER


def test_level_and_leases_stay_within_the_burst() -> None:
    bucket = LimitBucket(UnitLimit(5, 10), level=10, at_s=0)
    holder = SliceHolder(VmId('vm-1'), Incarnation('a'))
    granted = bucket.grant(holder, SliceNeed(need=4), 0, is_last_accepted=True)
    assert granted.granted == 4
    state = bucket.state(SLICE_EXPIRY_S - 0.01)
    assert (state.level, state.outstanding) == (6, 4)
    after_expiry = bucket.state(SLICE_EXPIRY_S + 0.2)
    assert after_expiry.level == pytest.approx(7)
    assert after_expiry.outstanding == 0
    assert bucket.state(5).level == 10


def test_unused_bucket_refills_to_the_burst() -> None:
    bucket = LimitBucket(UnitLimit(5, 10), level=10, at_s=0)
    holder = SliceHolder(VmId('vm-1'), Incarnation('a'))
    bucket.grant(holder, SliceNeed(need=10), 0, is_last_accepted=True)
    assert bucket.state(60).level == 10


def test_lost_grant_returns_to_the_bucket() -> None:
    bucket = LimitBucket(UnitLimit(5, 10), level=10, at_s=0)
    holder = SliceHolder(VmId('vm-1'), Incarnation('a'))
    bucket.grant(holder, SliceNeed(need=4), 0, is_last_accepted=True)
    bucket.grant(holder, SliceNeed(), 0, is_last_accepted=False)
    assert bucket.state(0).level == 10
