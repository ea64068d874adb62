"""Tokenization of prompts for the engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

VOCABULARY_SIZE = 50_000
"""Number of distinct token ids of ``WordTokenizer``."""


class Tokenizer(Protocol):
    """Converts text to token ids."""

    def encode(self, text: str) -> tuple[int, ...]:
        """Returns the token ids of a text."""


class WordTokenizer:
    """Tokenizer that derives the token id of a word from its hash.

    A word has the same id on every node, so prompts with a common prefix have
    the same leading token ids.
    """

    def encode(self, text: str) -> tuple[int, ...]:
        """Returns one id for each white-space separated word."""
        return tuple(
            xxhash.xxh3_64_intdigest(word.encode()) % VOCABULARY_SIZE
            for word in text.split()
        )


def prompt_digest(prompt: Sequence[int]) -> str:
    """Returns the 128-bit digest that identifies a prompt."""
    return xxhash.xxh3_128_hexdigest(','.join(map(str, prompt)).encode())


__all__ = ('Tokenizer', 'WordTokenizer', 'prompt_digest')
