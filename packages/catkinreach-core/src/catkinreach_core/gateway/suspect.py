"""The crashes of which one key is suspected, and when it is tried again."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .crash_log import Crash

CRASHES_TO_REFUSE = 3

MIN_REFUSAL_S = 20.0
MAX_REFUSAL_S = 600.0
"""Time after its last crash for which a key is refused. It doubles with each
further crash: a key that is innocent is found to be so, others crash
rarely."""

MAX_CRASHES = 16
"""Maximum number of crashes of one key that are remembered, the newest."""


@dataclass(slots=True)
class Suspect:
    """One key.

    Attributes:
        crashes: Crashes that requests with the key may have caused, as an
            ordered set.
        cleared: Crashes of which the key is innocent, since it ran later.
        changed_s: Time of the last change.
    """

    crashes: dict[Crash, None] = field(default_factory=dict)
    cleared: dict[Crash, None] = field(default_factory=dict)
    changed_s: float = 0.0

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
        known = self.crashes.keys() | self.cleared.keys()
        new = [crash for crash in crashes if crash not in known]
        for crash in new:
            self.crashes[crash] = None
            self.changed_s = now_s
        for crash in tuple(self.crashes)[:-MAX_CRASHES]:
            del self.crashes[crash]
        return bool(new)

    def clear(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Clears the key of crashes."""
        for crash in tuple(crashes):
            self.crashes.pop(crash, None)
            if crash not in self.cleared:
                self.cleared[crash] = None
                self.changed_s = now_s
        for crash in tuple(self.cleared)[:-MAX_CRASHES]:
            del self.cleared[crash]

    @property
    def refusal_end_s(self) -> float:
        """Returns when a request with the key may be tried again."""
        doublings = min(len(self.crashes) - CRASHES_TO_REFUSE, 16)
        refusal_s = MIN_REFUSAL_S * float(1 << doublings)
        return self.last_crash_s + min(MAX_REFUSAL_S, refusal_s)


__all__ = (
    'CRASHES_TO_REFUSE',
    'MIN_REFUSAL_S',
    'Suspect',
)
