"""A limiter waits for slices, refuses what is over the rate, and settles."""

from __future__ import annotations

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import Incarnation, VmId, WorkspaceId
from catkinreach_core.limits.bucket import Borrower, LimitBucket
from catkinreach_core.limits.limiter import Cost, WorkspaceLimiter
from catkinreach_core.limits.parameters import (
    LAPSE_S,
    SLICE_LIFE_S,
    UnitLimit,
    WorkspaceLimits,
)
from catkinreach_core.messages.limits import Slice, SliceGrant, SliceNeed

LIMITS = WorkspaceLimits(requests=UnitLimit(5, 10), tokens=UnitLimit(100, 300))


@pytest.fixture
def limiter() -> WorkspaceLimiter:
    return WorkspaceLimiter(WorkspaceId('sunday-bee'), Incarnation('a'), LIMITS)


def _lend(
    limiter: WorkspaceLimiter,
    now_s: float,
    *,
    requests: float,
    tokens: float,
    ready_in_s: float = 0.0,
) -> None:
    ask = limiter.next_slice_request(now_s)
    assert ask is not None
    slices = (
        Slice(granted=requests, ready_in_s=ready_in_s),
        Slice(granted=tokens),
    )
    limiter.on_grant(
        SliceGrant(term=1, sequence=ask.sequence, slices=slices), now_s
    )


def test_paused_node_finds_its_slice_expired(limiter: WorkspaceLimiter) -> None:
    limiter.try_admit(1, Cost(1, 10), 0)
    limiter.enqueue(1, Cost(1, 10), 0)
    _lend(limiter, 0, requests=5, tokens=100)
    assert [one.number for one in limiter.resolve_queued(0)] == [1]
    assert limiter.try_admit(2, Cost(1, 10), SLICE_LIFE_S - 0.01)
    assert not limiter.try_admit(3, Cost(1, 10), SLICE_LIFE_S)


def test_request_over_the_rate_is_told_when_to_retry(
    limiter: WorkspaceLimiter,
) -> None:
    for number in range(10):
        limiter.enqueue(number, Cost(1, 0), 0)
    _lend(limiter, 0, requests=0, tokens=0, ready_in_s=0.2)
    refusals = [one.refusal for one in limiter.resolve_queued(0)]
    assert len(refusals) == 5
    assert refusals[-1] is not None
    assert refusals[-1].kind is ErrorKind.RATE_LIMITED
    assert refusals[-1].retry_after_s == pytest.approx(6 / 5, abs=0.01)


def test_cost_above_the_burst_is_refused_at_once(
    limiter: WorkspaceLimiter,
) -> None:
    with pytest.raises(CatkinreachError, match='more than the burst'):
        limiter.enqueue(1, Cost(1, 301), 0)


def test_unused_tokens_come_back(limiter: WorkspaceLimiter) -> None:
    limiter.enqueue(1, Cost(1, 100), 0)
    _lend(limiter, 0, requests=5, tokens=100)
    limiter.resolve_queued(0)
    limiter.settle(1, 60, 0.1)
    assert limiter.free(0.1)[1] == 60
    limiter.settle(1, 60, 0.1)
    assert limiter.free(0.1)[1] == 60


def test_units_of_a_waiting_request_are_not_returned(
    limiter: WorkspaceLimiter,
) -> None:
    limiter.try_admit(1, Cost(1, 100), 0)
    limiter.enqueue(1, Cost(1, 100), 0)
    _lend(limiter, 0, requests=1, tokens=0, ready_in_s=0.2)
    assert not limiter.resolve_queued(0.9)
    ask = limiter.next_slice_request(0.9)
    assert ask is not None
    assert (ask.needs[0].returned, ask.needs[0].held) == (0, 1)


def test_lost_owner_ends_in_a_refusal_that_ran_nothing(
    limiter: WorkspaceLimiter,
) -> None:
    limiter.enqueue(1, Cost(1, 1), 0)
    ask = limiter.next_slice_request(0)
    assert ask is not None
    limiter.on_failure(ask.sequence, 0.3)
    assert not limiter.resolve_queued(9)
    (verdict,) = limiter.resolve_queued(11)
    assert verdict.refusal is not None
    assert verdict.refusal.kind is ErrorKind.NO_OWNER


def test_level_and_loans_stay_within_the_burst() -> None:
    bucket = LimitBucket(UnitLimit(5, 10), level=10, at_s=0)
    borrower = Borrower(VmId('vm-1'), Incarnation('a'))
    lent = bucket.lend(borrower, SliceNeed(need=4), 0, is_last_accepted=True)
    assert lent.granted == 4
    state = bucket.state(LAPSE_S - 0.01)
    assert (state.level, state.outstanding) == (6, 4)
    after_lapse = bucket.state(LAPSE_S + 0.2)
    assert after_lapse.level == pytest.approx(7)
    assert after_lapse.outstanding == 0
    assert bucket.state(5).level == 10


def test_bucket_left_alone_for_long_is_full() -> None:
    bucket = LimitBucket(UnitLimit(5, 10), level=10, at_s=0)
    borrower = Borrower(VmId('vm-1'), Incarnation('a'))
    bucket.lend(borrower, SliceNeed(need=10), 0, is_last_accepted=True)
    assert bucket.state(60).level == 10


def test_lost_grant_is_taken_back() -> None:
    bucket = LimitBucket(UnitLimit(5, 10), level=10, at_s=0)
    borrower = Borrower(VmId('vm-1'), Incarnation('a'))
    bucket.lend(borrower, SliceNeed(need=4), 0, is_last_accepted=True)
    bucket.lend(borrower, SliceNeed(), 0, is_last_accepted=False)
    assert bucket.state(0).level == 10
