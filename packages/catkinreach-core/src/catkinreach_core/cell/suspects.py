"""Tracks prompts that crash the engines that run them.

Each crash makes suspects of the prompts that ran on the engine. A suspect
runs alone from then on, so that its next crash has only one possible cause. A
prompt that was a suspect in ``CRASHES_TO_QUARANTINE`` crashes, and ran alone in
the last of them, is quarantined: it is refused for ``QUARANTINE_S``.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import UpstreamId

CRASHES_TO_QUARANTINE = 2
"""Crashes of a suspect prompt after which it is quarantined."""

QUARANTINE_S = 600.0
"""Time for which a quarantined prompt is refused."""

SUSPICION_S = 120.0
"""Time after its last crash for which a prompt stays a suspect."""

MAX_PROVEN = 20_000
"""Largest number of prompts stored as proven; the oldest are dropped."""

MAX_SUSPECTS = 5_000
"""Largest number of prompts stored as suspects; the oldest are dropped."""


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of an engine; ``boot`` is the boot id that it ended."""

    upstream_id: UpstreamId
    boot: str


@dataclass(slots=True)
class Suspicion:
    """Crashes that a prompt may have caused, and the time of the last one."""

    last_crash_at_s: float
    crashes: set[Crash] = field(default_factory=set)


class SuspectList:
    """Suspected, quarantined and proven prompts of one cell.

    A proven prompt has reached its first token without a crash since.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._suspects: OrderedDict[str, Suspicion] = OrderedDict()
        self._quarantined: dict[str, float] = {}
        self._proven: OrderedDict[str, None] = OrderedDict()

    @property
    def suspect_count(self) -> int:
        """Returns the number of prompts that run alone."""
        return len(self._suspects)

    def quarantined(self, now_s: float) -> dict[str, float]:
        """Returns the quarantined prompts with the seconds that remain."""
        self._expire_quarantines(now_s)
        return {
            digest: until_s - now_s
            for digest, until_s in self._quarantined.items()
        }

    def is_quarantined(self, digest: str, now_s: float) -> bool:
        """Returns whether a prompt is in quarantine."""
        until_s = self._quarantined.get(digest)
        return until_s is not None and until_s > now_s

    def is_suspect(self, digest: str, now_s: float) -> bool:
        """Returns whether a prompt must run alone."""
        suspicion = self._suspects.get(digest)
        return (
            suspicion is not None
            and now_s - suspicion.last_crash_at_s < SUSPICION_S
        )

    def is_proven(self, digest: str) -> bool:
        """Returns whether a prompt has reached its first token before."""
        return digest in self._proven

    def record_crash(
        self, digest: str, crash: Crash, *, was_alone: bool, now_s: float
    ) -> bool:
        """Records a crash for a prompt; True if it is now in quarantine."""
        suspicion = self._suspects.setdefault(digest, Suspicion(now_s))
        suspicion.last_crash_at_s = now_s
        suspicion.crashes.add(crash)
        self._proven.pop(digest, None)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if not was_alone or len(suspicion.crashes) < CRASHES_TO_QUARANTINE:
            return False
        self.quarantine(digest, QUARANTINE_S, now_s)
        return True

    def quarantine(self, digest: str, remaining_s: float, now_s: float) -> None:
        """Refuses a prompt for ``remaining_s``, at most ``QUARANTINE_S``."""
        until_s = now_s + min(remaining_s, QUARANTINE_S)
        self._quarantined[digest] = max(
            until_s, self._quarantined.get(digest, 0.0)
        )
        self._suspects.pop(digest, None)

    def remove_crash(self, crash: Crash) -> None:
        """Removes a crash that has another cause from all prompts."""
        for digest, suspicion in tuple(self._suspects.items()):
            suspicion.crashes.discard(crash)
            if not suspicion.crashes:
                del self._suspects[digest]

    def mark_proven(self, digest: str) -> None:
        """Marks a prompt that reached its first token as harmless."""
        self._suspects.pop(digest, None)
        self._proven[digest] = None
        self._proven.move_to_end(digest)
        while len(self._proven) > MAX_PROVEN:
            self._proven.popitem(last=False)

    def suspicions(self) -> Iterator[tuple[str, Crash]]:
        """Yields each suspected prompt once for every crash it is tied to."""
        for digest, suspicion in self._suspects.items():
            for crash in suspicion.crashes:
                yield digest, crash

    def _expire_quarantines(self, now_s: float) -> None:
        for digest, until_s in tuple(self._quarantined.items()):
            if until_s <= now_s:
                del self._quarantined[digest]


__all__ = ('CRASHES_TO_QUARANTINE', 'QUARANTINE_S', 'Crash', 'SuspectList')
