"""Tests of the stand-in engine's prefix cache."""

from __future__ import annotations

import random

from catkinreach_standins.answer import block_digests
from catkinreach_standins.engine_cache import CacheEventKind, PrefixCache

PROMPT = tuple(range(600))
OTHER_PROMPT = tuple(range(1000, 1600))


def _new_cache(
    *, capacity_blocks: int = 10, event_gap_rate: float = 0.0
) -> PrefixCache:
    return PrefixCache(
        capacity_blocks=capacity_blocks,
        event_lag_s=1.0,
        event_gap_rate=event_gap_rate,
        rng=random.Random(1),
    )


def test_cached_tokens_counts_whole_shared_blocks() -> None:
    cache = _new_cache()
    cache.store_prompt(PROMPT, 0)
    assert cache.count_cached_tokens(PROMPT) == 512
    assert cache.count_cached_tokens((*PROMPT[:300], 7)) == 256
    assert cache.count_cached_tokens(OTHER_PROMPT) == 0


def test_least_recently_used_blocks_are_evicted_first() -> None:
    cache = _new_cache(capacity_blocks=3)
    cache.store_prompt(PROMPT, 0)
    cache.store_prompt(OTHER_PROMPT, 0)
    assert cache.count_cached_tokens(OTHER_PROMPT) == 512
    assert cache.count_cached_tokens(PROMPT) == 256
    evicted = [
        event.block
        for event in cache.events_after(0, 1.0)
        if event.kind is CacheEventKind.EVICTED
    ]
    assert evicted == [block_digests(PROMPT)[1]]


def test_events_are_delayed() -> None:
    cache = _new_cache()
    cache.store_prompt(PROMPT, 5.0)
    assert not cache.events_after(0, 5.9)
    assert [event.seq for event in cache.events_after(1, 6.0)] == [2]


def test_lost_events_leave_gaps() -> None:
    cache = _new_cache(capacity_blocks=1000, event_gap_rate=0.5)
    cache.store_prompt(tuple(range(256 * 100)), 0)
    seqs = [event.seq for event in cache.events_after(0, 1.0)]
    assert seqs == sorted(seqs)
    assert 0 < len(seqs) < 100
