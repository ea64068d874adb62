"""Choice among engines by nodes that see each other's choices late.

Load pattern: dozens of nodes place streams within the time in which they hear
of each other's. All of them see the same emptiest engine and reserve the same
memory there, while its neighbours have room.

Each node considers a few engines that it draws at random, those with more room
more often, and takes the best of them. In a small fleet, whose nodes hear of
each other at once, every engine is considered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .placement import MEMORY_USE, has_memory_for

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from .catalog import EngineTraits
    from .placement import Candidate, StreamNeed

MAX_NODES_IN_STEP = 24
"""Largest fleet whose nodes consider every engine."""

SAMPLED_ENGINES = 3
"""Engines of each stage that are considered for one stream."""


def sample_engines(
    candidates: Sequence[Candidate],
    need: StreamNeed,
    traits: EngineTraits,
    rng: random.Random,
) -> list[Candidate]:
    """Returns the engines that are considered for a stream."""
    decode_engines = [
        candidate
        for candidate in candidates
        if candidate.can_decode and has_memory_for(candidate, need, traits)
    ]
    prefill_engines = [
        candidate for candidate in candidates if not candidate.can_decode
    ]
    memory = traits.memory_tokens * MEMORY_USE
    rooms = [
        (memory - candidate.load.memory_tokens) / candidate.cost_factor**2
        for candidate in decode_engines
    ]
    speeds = [
        1
        / (need.prompt_tokens + candidate.load.prefill_tokens + 1)
        / candidate.cost_factor**2
        for candidate in prefill_engines
    ]
    return [
        *_draw(decode_engines, rooms, rng),
        *_draw(prefill_engines, speeds, rng),
    ]


def _draw(
    candidates: Sequence[Candidate],
    weights: Sequence[float],
    rng: random.Random,
) -> list[Candidate]:
    """Returns a few candidates, drawn by weight without replacement."""
    # Exponential keys: the smallest of them are such a draw.
    keys = [rng.expovariate(1.0) / max(weight, 1e-9) for weight in weights]
    ranked = sorted(range(len(candidates)), key=keys.__getitem__)
    return [candidates[index] for index in ranked[:SAMPLED_ENGINES]]


__all__ = ('MAX_NODES_IN_STEP', 'SAMPLED_ENGINES', 'sample_engines')
