"""Crashes as one node knows them, each once.

Nodes see one crash at different times, so sightings of one source within some
seconds are of the same crash. What restarts sooner and crashes again is told
apart by a node that connected to it in between, or by a report of both.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .crash_reports import CrashSource

SAME_CRASH_S = 3.0
"""Time within which sightings of one source are of the same crash. A node that
was paused sees it late; what crashed needs about as long to start again."""

MAX_CRASHES = 1_000


@dataclass(frozen=True, eq=False, slots=True)
class Crash:
    """One crash; the same object for all who saw it.

    Attributes:
        source: What crashed.
        at_s: Time of the crash on this node's monotonic clock.
    """

    source: CrashSource
    at_s: float


class CrashLog:
    """Tells whether two nodes, or two requests, saw the same crash."""

    def __init__(self) -> None:
        """Starts without crashes."""
        self._crashes: defaultdict[CrashSource, list[Crash]] = defaultdict(list)
        self._up_s: dict[CrashSource, float] = {}
        self._count = 0

    def record_up(self, source: CrashSource, now_s: float) -> None:
        """Records that a source that was down accepts connections again."""
        if source in self._crashes:
            self._up_s[source] = now_s

    def identify(self, source: CrashSource, at_s: float) -> Crash:
        """Returns the crash that this node sees; a new one if unknown."""
        up_s = self._up_s.get(source, -math.inf)
        found = [
            crash
            for crash in self._crashes[source]
            if abs(crash.at_s - at_s) <= SAME_CRASH_S
            and not crash.at_s < up_s <= at_s
        ]
        if not found:
            return self._add(source, at_s)
        return min(found, key=lambda crash: abs(crash.at_s - at_s))

    def identify_reported(
        self, sightings: Sequence[tuple[CrashSource, float]]
    ) -> list[Crash]:
        """Returns the crashes of one report, in its order; all differ.

        Args:
            sightings: Source and time of each.
        """
        pairs = sorted(
            (abs(crash.at_s - at_s), number, place)
            for number, (source, at_s) in enumerate(sightings)
            for place, crash in enumerate(self._crashes.get(source, ()))
        )
        found: dict[int, Crash] = {}
        for distance_s, number, place in pairs:
            crash = self._crashes[sightings[number][0]][place]
            is_taken = number in found or crash in found.values()
            if distance_s <= SAME_CRASH_S and not is_taken:
                found[number] = crash
        return [
            found[number] if number in found else self._add(source, at_s)
            for number, (source, at_s) in enumerate(sightings)
        ]

    def _add(self, source: CrashSource, at_s: float) -> Crash:
        known = self._crashes[source]
        crash = Crash(source, at_s)
        known.append(crash)
        self._count += 1
        if self._count > MAX_CRASHES:
            self._drop_older_half()
        return crash

    def _drop_older_half(self) -> None:
        """Forgets the older half; a crash that is dropped may count again."""
        found = [one for known in self._crashes.values() for one in known]
        found.sort(key=lambda crash: crash.at_s)
        self._crashes.clear()
        self._up_s.clear()
        for crash in found[len(found) // 2 :]:
            self._crashes[crash.source].append(crash)
        self._count = len(found) - len(found) // 2


__all__ = ('SAME_CRASH_S', 'Crash', 'CrashLog')
