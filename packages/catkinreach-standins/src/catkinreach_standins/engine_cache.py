"""LRU prefix cache of an engine, with delayed and lossy change events."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from .answer import BLOCK_TOKENS, block_digests

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

MAX_KEPT_EVENTS = 10_000
"""Number of events after which the oldest ones are removed."""


class CacheEventKind(Enum):
    """Change of a prefix block."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the prefix cache.

    Attributes:
        seq: Sequence number; lost events leave gaps.
        kind: What happened to the block.
        block: Digest of the prompt up to the end of the block.
    """

    seq: int
    kind: CacheEventKind
    block: str


class PrefixCache:
    """LRU cache of prefix blocks, each identified by its prefix digest."""

    def __init__(
        self,
        *,
        capacity_blocks: int,
        event_lag_s: float,
        event_gap_rate: float,
        rng: random.Random,
    ) -> None:
        """Starts empty.

        Args:
            capacity_blocks: Number of blocks that the cache keeps.
            event_lag_s: Delay of each event, in real seconds.
            event_gap_rate: Share of the events that are lost, from 0 to 1.
            rng: Decides which events are lost.
        """
        self._capacity_blocks = capacity_blocks
        self._event_lag_s = event_lag_s
        self._event_gap_rate = event_gap_rate
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._last_seq = 0

    def count_cached_tokens(self, prompt: Sequence[int]) -> int:
        """Returns the number of leading tokens in cached blocks."""
        blocks = 0
        for digest in block_digests(prompt):
            if digest not in self._blocks:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def store_prompt(self, prompt: Sequence[int], now_s: float) -> None:
        """Stores or refreshes all whole blocks of a prompt.

        The first block counts as the most recently used one: later blocks are
        useless without it and so are evicted before.
        """
        for digest in reversed(block_digests(prompt)):
            if digest not in self._blocks:
                self._publish_event(CacheEventKind.STORED, digest, now_s)
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish_event(CacheEventKind.EVICTED, evicted, now_s)

    def drop_blocks(self) -> None:
        """Removes all blocks without an event."""
        self._blocks.clear()

    def events_after(self, seq: int, now_s: float) -> list[CacheEvent]:
        """Returns the events after a sequence number, except the latest.

        Events younger than ``event_lag_s`` are left out.
        """
        published_until_s = now_s - self._event_lag_s
        return [
            event
            for at_s, event in self._events
            if event.seq > seq and at_s <= published_until_s
        ]

    def _publish_event(
        self,
        kind: CacheEventKind,
        digest: str,
        now_s: float,
    ) -> None:
        self._last_seq += 1
        if self._rng.random() < self._event_gap_rate:
            return
        event = CacheEvent(seq=self._last_seq, kind=kind, block=digest)
        self._events.append((now_s, event))
        del self._events[:-MAX_KEPT_EVENTS]


__all__ = ('CacheEvent', 'CacheEventKind', 'PrefixCache')
