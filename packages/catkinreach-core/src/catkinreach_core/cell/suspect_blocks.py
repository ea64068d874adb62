"""Tracks prefix blocks whose prompts crash the engines that run them.

Load pattern: requests that are all different begin with the same crashing part,
so that no whole prompt is seen twice. Harmless requests share other blocks with
them, such as a common prompt of a service.

Each block of the prompts that may have caused a crash is suspected of it. A
prompt that reaches its first token clears its blocks. A prompt is refused if
one of its blocks has too many crashes, unless a block that it doesn't have was
part of the same crashes: then one of the two is harmless, and only prompts that
have just one of them can show which.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

from .suspects import QUARANTINE_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from .suspects import Crash

CRASHES_TO_REFUSE = 3
CRASHES_TO_SHARE = 2
"""Crashes of a block from which the next owner is told of it."""

MIN_REFUSAL_S = 20.0
"""Time for which a block is refused after its third crash.

It doubles with each further crash: a harmless block is soon found to be so, and
a crashing one crashes engines rarely.
"""

MAX_SHARED_BLOCKS = 200
"""Largest number of blocks that the next owner is told of; the newest."""

MAX_BLOCKS = 20_000
"""Largest number of blocks stored; the oldest are dropped."""

_MAX_DOUBLINGS = 16


@dataclass(slots=True)
class _Suspicion:
    """Crashes that a block may have caused, and the time of the last one."""

    last_crash_at_s: float
    crashes: set[Crash] = field(default_factory=set)

    @property
    def refused_until_s(self) -> float:
        """Returns until when prompts with the block are refused."""
        excess = len(self.crashes) - CRASHES_TO_REFUSE
        if excess < 0:
            return -math.inf
        refusal_s = MIN_REFUSAL_S * (1 << min(excess, _MAX_DOUBLINGS))
        return self.last_crash_at_s + min(QUARANTINE_S, refusal_s)


class SuspectBlocks:
    """Suspected prefix blocks of one cell, by their keys."""

    def __init__(self) -> None:
        """Starts without suspected blocks."""
        self._suspects: OrderedDict[int, _Suspicion] = OrderedDict()

    def record_crash(
        self, blocks: Iterable[int], crash: Crash, now_s: float
    ) -> None:
        """Suspects blocks of a crash; one that they have counts once."""
        for block in blocks:
            suspicion = self._suspects.setdefault(block, _Suspicion(now_s))
            if crash not in suspicion.crashes:
                suspicion.crashes.add(crash)
                suspicion.last_crash_at_s = now_s
                self._suspects.move_to_end(block)
        while len(self._suspects) > MAX_BLOCKS:
            self._suspects.popitem(last=False)

    def remove_crash(self, crash: Crash) -> None:
        """Removes a crash that has another cause from all blocks."""
        for block, suspicion in tuple(self._suspects.items()):
            suspicion.crashes.discard(crash)
            if not suspicion.crashes:
                del self._suspects[block]

    def clear(self, blocks: Iterable[int]) -> None:
        """Clears the blocks of a prompt that reached its first token."""
        for block in blocks:
            self._suspects.pop(block, None)

    def must_refuse(self, blocks: Collection[int], now_s: float) -> bool:
        """Returns whether a prompt with these blocks must not run."""
        refused = [
            self._suspects[block].crashes
            for block in blocks
            if self._is_refused(block, now_s)
        ]
        if not refused:
            return False
        explanations = self._explanations(blocks)
        return not all(
            any(crashes <= explanation for explanation in explanations)
            for crashes in refused
        )

    def suspicions(self) -> Iterator[tuple[int, Crash]]:
        """Yields the newest blocks with several crashes, with each of them."""
        repeated = (
            (block, suspicion.crashes)
            for block, suspicion in reversed(self._suspects.items())
            if len(suspicion.crashes) >= CRASHES_TO_SHARE
        )
        for block, crashes in islice(repeated, MAX_SHARED_BLOCKS):
            for crash in crashes:
                yield block, crash

    def _is_refused(self, block: int, now_s: float) -> bool:
        suspicion = self._suspects.get(block)
        return suspicion is not None and now_s < suspicion.refused_until_s

    def _explanations(self, blocks: Collection[int]) -> list[set[Crash]]:
        """Returns the crashes of each other block that has too many."""
        return [
            suspicion.crashes
            for block, suspicion in self._suspects.items()
            if len(suspicion.crashes) >= CRASHES_TO_REFUSE
            and block not in blocks
        ]


__all__ = ('CRASHES_TO_REFUSE', 'MIN_REFUSAL_S', 'SuspectBlocks')
