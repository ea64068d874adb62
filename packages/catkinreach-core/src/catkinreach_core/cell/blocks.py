"""Keys of a prompt's prefix blocks, computed as the engines compute them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_TOKENS = 256
"""Tokens in one prefix block."""

_KEY_HEX_DIGITS = 16
_HEX = 16


def block_key(digest: str) -> int:
    """Returns the 64-bit key of a block's hex digest."""
    return int(digest[:_KEY_HEX_DIGITS], _HEX)


def prefix_blocks(prompt: Sequence[int]) -> tuple[int, ...]:
    """Returns one key per whole block, each over all tokens up to its end."""
    hasher = xxhash.xxh3_128()
    keys: list[int] = []
    for end in range(BLOCK_TOKENS, len(prompt) + 1, BLOCK_TOKENS):
        separator = ',' if keys else ''
        text = ','.join(map(str, prompt[end - BLOCK_TOKENS : end]))
        hasher.update(f'{separator}{text}'.encode())
        keys.append(block_key(hasher.hexdigest()))
    return tuple(keys)


__all__ = ('BLOCK_TOKENS', 'block_key', 'prefix_blocks')
