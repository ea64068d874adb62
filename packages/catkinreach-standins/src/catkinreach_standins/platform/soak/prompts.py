"""Prompts of a run's streams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

CRASHING_PART: Final = 'dead0a7e'
"""Part that crashes each engine that begins to answer."""

SHARED_PARTS: Final = ('5c1e07a2', '91bd3f06', 'e4402b7d', '0b77c1d9')
CRASHING_PROBABILITY: Final = 0.25
_SHARED_TOKENS: Final = 200
_OWN_TOKENS: Final = 100


@dataclass(slots=True)
class Prompts:
    """Makes the ``Prompt-Prefix`` headers of streams.

    Attributes:
        rng: Random number generator for the parts.
        has_crashing: Whether some prompts hold the crashing part.
    """

    rng: random.Random
    has_crashing: bool = False
    _count: int = 0

    def make_prefix(self) -> str:
        """Returns two or three parts; the last is the request's own."""
        parts = self.rng.sample(SHARED_PARTS, self.rng.randint(1, 2))
        if self.has_crashing and self.rng.random() < CRASHING_PROBABILITY:
            parts[self.rng.randrange(len(parts))] = CRASHING_PART
        self._count += 1
        shared = [f'{part}:{_SHARED_TOKENS}' for part in parts]
        return ','.join((*shared, f'{self._count:08x}:{_OWN_TOKENS}'))


__all__ = ('CRASHING_PART', 'Prompts')
