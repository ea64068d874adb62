"""Estimate of the contents of an engine's prefix cache.

Cache events arrive late and with gaps. So the map also adds the blocks of the
requests that the cell placed, and is corrected by the cached tokens that
prefills report.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from .blocks import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_BLOCKS = 4000
"""Blocks in the map of one engine; the least recently used one goes first."""


class PrefixMap:
    """Keys of the blocks that one engine caches, least recently used first."""

    def __init__(self) -> None:
        """Starts empty."""
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def cached_tokens(self, blocks: Sequence[int]) -> int:
        """Returns how many leading tokens the engine probably has cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def store(self, blocks: Sequence[int]) -> None:
        """Adds blocks that the engine has cached or will cache shortly."""
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def evict(self, block: int) -> None:
        """Removes one block."""
        self._blocks.pop(block, None)

    def correct_after_prefill(
        self, blocks: Sequence[int], expected: int, reported: int
    ) -> bool:
        """Corrects the map by the cached tokens that a prefill reported.

        If it reported less than half of the expected tokens, the engine has
        lost its cache: all blocks are removed but those of the prefill, which
        the engine has just stored. Returns whether that was so.
        """
        if not blocks or reported * 2 >= expected:
            return False
        self._blocks.clear()
        self.store(blocks)
        return True

    def clear(self) -> None:
        """Removes all blocks."""
        self._blocks.clear()


__all__ = ('MAX_BLOCKS', 'PrefixMap')
