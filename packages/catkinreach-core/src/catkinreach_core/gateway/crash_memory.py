"""How far back the crashes that a node knows of reach.

A node that starts learns from its peers what crashed before. If they all
started a short time ago, too, nobody knows it: a key that crashes upstreams
soon after that, and hasn't run since, may have been refused before.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from .suspect import MIN_REFUSAL_S, Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .crash_reports import SuspectKey

UNKNOWN_PAST_S = MIN_REFUSAL_S
"""Time from the start of the memory in which the first crash of a key may not
be its first. What was refused before would have been tried again by its end."""

MAX_RUNS = 2_000
"""Maximum number of keys of which a run is remembered, the newest."""


class CrashMemory:
    """Since when the fleet remembers crashes, and what ran soon after."""

    def __init__(self, started_s: float) -> None:
        """Starts with what is known since a time, which peers may extend."""
        self._since_s = started_s
        self._ran_at_s: OrderedDict[SuspectKey, float] = OrderedDict()

    def age_s(self, now_s: float) -> float:
        """Returns the time for which crashes have been remembered."""
        return now_s - self._since_s

    def extend(self, age_s: float, now_s: float) -> None:
        """Adds the memory of a peer, which has told what it knows."""
        self._since_s = min(self._since_s, now_s - age_s)

    def record_run(
        self, keys: Iterable[SuspectKey], ran_at_s: float, now_s: float
    ) -> None:
        """Records that a request with these keys ran without harm."""
        if self.age_s(now_s) > UNKNOWN_PAST_S:
            self._ran_at_s.clear()
            return
        for key in keys:
            self._ran_at_s[key] = ran_at_s
            self._ran_at_s.move_to_end(key)
        while len(self._ran_at_s) > MAX_RUNS:
            self._ran_at_s.popitem(last=False)

    def new_suspect(self, key: SuspectKey) -> Suspect:
        """Returns a suspect without crashes, with the last run of its key."""
        return Suspect(ran_at_s=self._ran_at_s.get(key, -math.inf))

    def may_lack_crashes(self, suspect: Suspect) -> bool:
        """Returns whether a key may have crashed upstreams before."""
        since_first_s = suspect.first_crash_s - self._since_s
        has_run = suspect.ran_at_s >= self._since_s
        return not has_run and 0 <= since_first_s <= UNKNOWN_PAST_S


__all__ = ('UNKNOWN_PAST_S', 'CrashMemory')
