"""Software versions of a run's decode engines."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..upstream import UpstreamStandin

VERSIONS: Final = ('v1', 'v2')
MIXED_PROBABILITY: Final = 0.5
"""Share of the seeds in which two versions run side by side."""

MIXED_EVENT_GAP_S: Final = 0.15
"""Pause after an event in these seeds: more streams are cut midway."""


def draw_mixed_versions(seed: int) -> bool:
    """Returns whether engines of two versions serve in a run."""
    return random.Random(f'{seed}/mixed').random() < MIXED_PROBABILITY


def mix_versions(engines: Sequence[UpstreamStandin]) -> None:
    """Gives engines two versions in turn."""
    for number, engine in enumerate(engines):
        engine.version = VERSIONS[number % len(VERSIONS)]
        engine.event_gap_s = MIXED_EVENT_GAP_S


def replace_software(engine: UpstreamStandin) -> None:
    """Gives an engine the other version, in a process that has no work."""
    first, second = VERSIONS
    engine.version = second if engine.version == first else first
    engine.held_parts.clear()
    engine.reset_connections()


__all__ = ('draw_mixed_versions', 'mix_versions', 'replace_software')
