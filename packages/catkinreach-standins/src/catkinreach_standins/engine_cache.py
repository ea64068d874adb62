"""Prefix cache of an engine: LRU by blocks, with late and lossy events."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from .answer import BLOCK_TOKENS, block_digests

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

EVENTS_KEPT = 10_000


class CacheEventKind(Enum):
    """What happened to a block."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True):
    """One event of the prefix cache."""

    seq: int
    kind: CacheEventKind
    block: str


class PrefixCache:
    """Least-recently-used blocks of 256 tokens, known by prefix digest."""

    def __init__(
        self,
        *,
        capacity_blocks: int,
        event_lag_s: float,
        gap_rate: float,
        rng: random.Random,
    ) -> None:
        """Start empty.

        Args:
            capacity_blocks: blocks kept.
            event_lag_s: seconds after which an event is published.
            gap_rate: share of events that never are, from 0 to 1.
            rng: source of the gaps.
        """
        self._capacity = capacity_blocks
        self._event_lag_s = event_lag_s
        self._gap_rate = gap_rate
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._last_seq = 0

    def cached_tokens(self, prompt: Sequence[int]) -> int:
        """Return the number of leading tokens held, in whole blocks."""
        blocks = 0
        for digest in block_digests(prompt):
            if digest not in self._blocks:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def store(self, prompt: Sequence[int], now_s: float) -> None:
        """Store or refresh all whole blocks of a prompt."""
        for digest in reversed(block_digests(prompt)):
            if digest not in self._blocks:
                self._publish(CacheEventKind.STORED, digest, now_s)
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, evicted, now_s)

    def drop(self) -> None:
        """Lose all blocks without telling anyone."""
        self._blocks.clear()

    def events_after(self, seq: int, now_s: float) -> list[CacheEvent]:
        """Return the published events with a greater sequence number."""
        published_until_s = now_s - self._event_lag_s
        return [
            event
            for at_s, event in self._events
            if event.seq > seq and at_s <= published_until_s
        ]

    def _publish(
        self,
        kind: CacheEventKind,
        digest: str,
        now_s: float,
    ) -> None:
        self._last_seq += 1
        if self._rng.random() < self._gap_rate:
            return
        event = CacheEvent(seq=self._last_seq, kind=kind, block=digest)
        self._events.append((now_s, event))
        del self._events[:-EVENTS_KEPT]


__all__ = ('CacheEvent', 'CacheEventKind', 'PrefixCache')
