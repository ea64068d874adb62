"""Tests of the prefix cache of an engine."""

from __future__ import annotations

import random

from catkinreach_standins.answer import block_digests
from catkinreach_standins.engine_cache import CacheEventKind, PrefixCache

PROMPT = tuple(range(600))
OTHER_PROMPT = tuple(range(1000, 1600))


def _cache(*, capacity: int = 10, gap_rate: float = 0.0) -> PrefixCache:
    return PrefixCache(
        capacity_blocks=capacity,
        event_lag_s=1.0,
        gap_rate=gap_rate,
        rng=random.Random(1),
    )


def test_cached_tokens_counts_whole_shared_blocks() -> None:
    cache = _cache()
    cache.store(PROMPT, 0)
    assert cache.cached_tokens(PROMPT) == 512
    assert cache.cached_tokens((*PROMPT[:300], 7)) == 256
    assert cache.cached_tokens(OTHER_PROMPT) == 0


def test_least_recently_used_blocks_leave_first() -> None:
    cache = _cache(capacity=3)
    cache.store(PROMPT, 0)
    cache.store(OTHER_PROMPT, 0)
    assert cache.cached_tokens(OTHER_PROMPT) == 512
    assert cache.cached_tokens(PROMPT) == 256
    evicted = [
        event.block
        for event in cache.events_after(0, 1.0)
        if event.kind is CacheEventKind.EVICTED
    ]
    assert evicted == [block_digests(PROMPT)[1]]


def test_events_are_late() -> None:
    cache = _cache()
    cache.store(PROMPT, 5.0)
    assert not cache.events_after(0, 5.9)
    assert [event.seq for event in cache.events_after(1, 6.0)] == [2]


def test_lost_events_leave_gaps() -> None:
    cache = _cache(capacity=1000, gap_rate=0.5)
    cache.store(tuple(range(256 * 100)), 0)
    seqs = [event.seq for event in cache.events_after(0, 1.0)]
    assert seqs == sorted(seqs)
    assert 0 < len(seqs) < 100
