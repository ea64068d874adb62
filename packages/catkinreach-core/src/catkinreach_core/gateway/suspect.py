"""The crashes of which one key is suspected, and when it is tried again."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .crash_log import Crash

CRASHES_TO_REFUSE = 3

MIN_REFUSAL_S = 20.0
MAX_REFUSAL_S = 600.0
"""Time after its last crash for which a key is refused. It doubles with each
further round of crashes: a key that is innocent is found to be so, others crash
rarely."""

ROUND_S = 5.0
"""Time without a crash after which another one begins a new round. Upstreams
that are lost together, as with their failure domain, make one round."""

TURN_S = 1.0
"""The same for a key that may have been refused before: upstreams that crash
in turn rather than together may be trials of it."""

MAX_UNEXPLAINED = 1
EXCUSED_REFUSAL_S = 2.0
"""Time after its last crash for which a key is refused if another key explains
all but so many of its crashes."""

MAX_CRASHES = 16
"""Maximum number of crashes of one key that are remembered, the newest."""


@dataclass(slots=True)
class Suspect:
    """One key.

    Attributes:
        crashes: Crashes that requests with the key may have caused, as an
            ordered set.
        ran_at_s: Time at which a request with the key last began to run
            without harm; it is innocent of earlier crashes.
        changed_s: Time of the last change.
    """

    crashes: dict[Crash, None] = field(default_factory=dict)
    ran_at_s: float = -math.inf
    changed_s: float = 0.0

    @property
    def first_crash_s(self) -> float:
        """Returns the time of the oldest crash."""
        return min((crash.at_s for crash in self.crashes), default=math.inf)

    @property
    def last_crash_s(self) -> float:
        """Returns the time of the newest crash."""
        return max((crash.at_s for crash in self.crashes), default=-math.inf)

    @property
    def has_too_many(self) -> bool:
        """Returns whether requests with the key are refused or tried."""
        return len(self.crashes) >= CRASHES_TO_REFUSE

    def add(self, crashes: Iterable[Crash], now_s: float) -> bool:
        """Adds crashes; returns whether any was new."""
        new = [
            crash
            for crash in crashes
            if crash not in self.crashes and crash.at_s > self.ran_at_s
        ]
        for crash in new:
            self.crashes[crash] = None
            self.changed_s = now_s
        for crash in tuple(self.crashes)[:-MAX_CRASHES]:
            del self.crashes[crash]
        return bool(new)

    def clear(self, ran_at_s: float, now_s: float) -> bool:
        """Clears the key of crashes up to a run; returns whether that is news.

        Args:
            ran_at_s: Time at which the run began.
            now_s: The current time.
        """
        earlier = [one for one in self.crashes if one.at_s <= ran_at_s]
        for crash in earlier:
            del self.crashes[crash]
        if earlier:
            self.changed_s = now_s
        self.ran_at_s = max(self.ran_at_s, ran_at_s)
        return bool(earlier)

    def is_explained_by(self, other: Suspect) -> bool:
        """Returns whether another key is the likelier cause.

        The crashes that it wasn't part of are too few for a refusal.
        """
        return (
            len(other.crashes) > len(self.crashes)
            and len(self._unexplained_by(other)) < CRASHES_TO_REFUSE
        )

    def refusal_end_s(
        self, others: Iterable[Suspect], *, may_lack_crashes: bool = False
    ) -> float:
        """Returns when a request with the key may be tried again.

        Args:
            others: Keys with too many crashes, which the request doesn't have.
            may_lack_crashes: Whether the key may have been refused before its
                first known crash. Then the rounds are one more than known, and
                each upstream that crashed in its turn is one.
        """
        rest = [
            (len(self._unexplained_by(other)), len(other.crashes))
            for other in others
        ]
        if any(
            unexplained <= MAX_UNEXPLAINED and count >= len(self.crashes)
            for unexplained, count in rest
        ):
            return self.last_crash_s
        if any(unexplained <= MAX_UNEXPLAINED for unexplained, _ in rest):
            return self.last_crash_s + EXCUSED_REFUSAL_S
        if may_lack_crashes:
            rounds = 1 + self._count_rounds(TURN_S)
        else:
            rounds = self._count_rounds(ROUND_S)
        doublings = min(rounds - 1, 16)
        refusal_s = MIN_REFUSAL_S * float(1 << doublings)
        return self.last_crash_s + min(MAX_REFUSAL_S, refusal_s)

    def _unexplained_by(self, other: Suspect) -> set[Crash]:
        return self.crashes.keys() - other.crashes.keys()

    def _count_rounds(self, gap_s: float) -> int:
        times_s = sorted(crash.at_s for crash in self.crashes)
        return 1 + sum(
            later_s - earlier_s >= gap_s
            for earlier_s, later_s in pairwise(times_s)
        )


__all__ = (
    'CRASHES_TO_REFUSE',
    'EXCUSED_REFUSAL_S',
    'MIN_REFUSAL_S',
    'ROUND_S',
    'TURN_S',
    'Suspect',
)
