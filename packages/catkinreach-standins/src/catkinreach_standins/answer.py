"""Deterministic answers: each token depends on the prompt and index alone."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_TOKENS = 256
DIGEST_CACHE_ENTRIES = 4096

_WORDS = (
    'amber', 'basil', 'cedar', 'dune', 'ember', 'fern', 'grove', 'hazel',
    'iris', 'jade', 'kelp', 'lark', 'moss', 'nook', 'opal', 'pine',
)  # fmt: skip


def expected_token(prompt: Sequence[int], index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    return token_of_digest(prompt_digest(prompt), index)


def expected_answer(prompt: Sequence[int], count: int) -> str:
    """Return the first ``count`` tokens of the answer, joined."""
    digest = prompt_digest(prompt)
    return ''.join(token_of_digest(digest, index) for index in range(count))


def token_of_digest(digest: str, index: int) -> str:
    """Return the token at an index, given the digest of the prompt."""
    number = xxhash.xxh3_64_intdigest(f'{digest}:{index}'.encode())
    word = _WORDS[number % len(_WORDS)]
    return f'{word}{number // len(_WORDS) % 1000} '


def prompt_digest(prompt: Sequence[int]) -> str:
    """Return the xxh3-128 digest of a whole prompt, in hex."""
    return _digest_tuple(tuple(prompt))


def block_digests(prompt: Sequence[int]) -> tuple[str, ...]:
    """Return the prefix digest at the end of each whole block of tokens."""
    hasher = xxhash.xxh3_128()
    digests: list[str] = []
    for end in range(BLOCK_TOKENS, len(prompt) + 1, BLOCK_TOKENS):
        block = prompt[end - BLOCK_TOKENS : end]
        separator = ',' if digests else ''
        text = separator + ','.join(map(str, block))
        hasher.update(text.encode())
        digests.append(hasher.hexdigest())
    return tuple(digests)


@lru_cache(maxsize=DIGEST_CACHE_ENTRIES)
def _digest_tuple(prompt: tuple[int, ...]) -> str:
    text = ','.join(map(str, prompt))
    return xxhash.xxh3_128_hexdigest(text.encode())


__all__ = (
    'BLOCK_TOKENS',
    'block_digests',
    'expected_answer',
    'expected_token',
    'prompt_digest',
    'token_of_digest',
)
