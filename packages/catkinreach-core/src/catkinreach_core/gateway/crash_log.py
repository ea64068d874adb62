"""Crashes as one node knows them, each once."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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
        self._count = 0

    def identify(self, source: CrashSource, at_s: float) -> Crash:
        """Returns the crash of a source at a time; a new one if unknown."""
        known = self._crashes[source]
        for crash in known:
            if abs(crash.at_s - at_s) <= SAME_CRASH_S:
                return crash
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
        for crash in found[len(found) // 2 :]:
            self._crashes[crash.source].append(crash)
        self._count = len(found) - len(found) // 2


__all__ = ('SAME_CRASH_S', 'Crash', 'CrashLog')
