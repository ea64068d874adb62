"""Deterministic answers: a token depends only on the prompt and its index."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_TOKENS = 256
"""Tokens per prefix block."""

DIGEST_CACHE_ENTRIES = 4096
"""Number of prompts whose digests are cached."""

_WORDS = (
    'amber', 'basil', 'cedar', 'dune', 'ember', 'fern', 'grove', 'hazel',
    'iris', 'jade', 'kelp', 'lark', 'moss', 'nook', 'opal', 'pine',
)  # fmt: skip


def expected_token(prompt: Sequence[int], index: int) -> str:
    """Returns the token at an index of the answer to a prompt."""
    return answer_token(prompt_digest(prompt), index)


def expected_answer(prompt: Sequence[int], count: int) -> str:
    """Returns the text of the first ``count`` tokens of the answer."""
    digest = prompt_digest(prompt)
    return ''.join(answer_token(digest, index) for index in range(count))


def answer_token(digest: str, index: int) -> str:
    """Returns the token at an index of the answer to the prompt of a digest."""
    number = xxhash.xxh3_64_intdigest(f'{digest}:{index}'.encode())
    word = _WORDS[number % len(_WORDS)]
    return f'{word}{number // len(_WORDS) % 1000} '


def prompt_digest(prompt: Sequence[int]) -> str:
    """Returns the xxh3-128 digest of a whole prompt, in hex."""
    return _cached_prompt_digest(tuple(prompt))


def block_digests(prompt: Sequence[int]) -> tuple[str, ...]:
    """Returns one digest per whole block, each over all tokens up to its end.

    The digest of the last block is that of the prompt if it ends there.
    """
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
def _cached_prompt_digest(prompt: tuple[int, ...]) -> str:
    text = ','.join(map(str, prompt))
    return xxhash.xxh3_128_hexdigest(text.encode())


__all__ = (
    'BLOCK_TOKENS',
    'answer_token',
    'block_digests',
    'expected_answer',
    'expected_token',
    'prompt_digest',
)
