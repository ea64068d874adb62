"""Requests, and parts of prompts, that crash the upstreams that run them.

Load pattern: requests that are all different have one part of their prompts in
common, or one caller repeats the same request, and each upstream that starts to
answer them crashes. Harmless requests have the same caller and other parts.

A request has several suspect keys: the fingerprint of the whole request, and
each part of its prompt that other requests may share. An upstream that
disconnects while requests start on it, and is unreachable afterwards, is one
crash of each of their keys. A request that runs clears its keys. A request is
refused if one of its keys has too many crashes, unless another key, which the
request doesn't have, was part of the same crashes: then one of the two is
innocent, and only requests that have just one of them can show which.

Nodes exchange the crashes themselves, not counts of them. A crash that several
nodes saw counts once, and what a node knew survives its end.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NewType

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

SuspectKey = NewType('SuspectKey', str)
"""Hash of a whole request or of one part of its prompt."""

CrashId = NewType('CrashId', int)
"""Hash that names one crash of one upstream."""

CRASHES_TO_REFUSE = 3
CRASHES_TO_STOP_RETRY = 2
"""Crashes of one of its keys after which a request that crashed an upstream
isn't sent to another one."""

MAX_SUSPECTS = 2_000
MAX_GOSSIP_NEW = 12
MAX_GOSSIP_REPEATED = 8
MAX_GOSSIP_OTHERS = 8
"""Maximum numbers of keys in one gossip message: those that changed lately,
those with several crashes, and in turn all others."""

NEWS_S = 5.0
"""Time for which a key counts as changed lately."""

MAX_GOSSIP_CRASHES = 16
"""Maximum number of crashes, for each key, in one gossip message."""

MAX_CLEARED = 64
"""Cleared crashes, for each key, that are remembered."""

MIN_REFUSAL_S = 20.0
MAX_REFUSAL_S = 600.0
"""Time after its last crash for which a key is refused. It doubles with each
further crash: a key that is innocent is found to be so, others crash rarely."""


class SuspectReport(Struct, array_like=True, frozen=True):
    """What a node tells its peers about one key.

    Attributes:
        crashes: Crashes for which the key is still a suspect.
        cleared: Crashes for which it no longer is, since it ran later.
    """

    crashes: list[CrashId]
    cleared: list[CrashId]


@dataclass(slots=True)
class _Suspect:
    """Crashes of one key; dictionaries serve as sets in order of arrival."""

    crashes: dict[CrashId, None] = field(default_factory=dict)
    cleared: dict[CrashId, None] = field(default_factory=dict)
    last_crash_s: float = 0.0
    changed_s: float = 0.0

    @property
    def refused_until_s(self) -> float:
        """Returns when a request with the key may be tried again."""
        excess = len(self.crashes) - CRASHES_TO_REFUSE
        if excess < 0:
            return -math.inf
        refusal_s = MIN_REFUSAL_S * float(1 << min(excess, 16))
        return self.last_crash_s + min(MAX_REFUSAL_S, refusal_s)

    def add(self, crashes: Iterable[CrashId], now_s: float) -> bool:
        """Adds crashes; returns whether any was new."""
        known = self.crashes.keys() | self.cleared.keys()
        new = [crash for crash in crashes if crash not in known]
        if new:
            self.crashes.update(dict.fromkeys(new))
            self.last_crash_s = now_s
            self.changed_s = now_s
        return bool(new)

    def clear(self, crashes: Iterable[CrashId], now_s: float) -> None:
        """Clears the key of crashes."""
        for crash in tuple(crashes):
            self.crashes.pop(crash, None)
            if crash not in self.cleared:
                self.cleared[crash] = None
                self.changed_s = now_s
        for crash in tuple(self.cleared)[:-MAX_CLEARED]:
            del self.cleared[crash]

    def report(self) -> SuspectReport:
        """Returns what peers are told, limited to the newest crashes."""
        return SuspectReport(
            list(self.crashes)[-MAX_GOSSIP_CRASHES:],
            list(self.cleared)[-MAX_GOSSIP_CRASHES:],
        )


class CrashSuspects:
    """Crashes by suspect key, as this node and its peers saw them."""

    def __init__(self) -> None:
        """Starts without suspects."""
        self._suspects: OrderedDict[SuspectKey, _Suspect] = OrderedDict()
        self._has_news = False
        self._next_other = 0

    def record_crash(
        self, keys: Collection[SuspectKey], crash: CrashId, now_s: float
    ) -> int:
        """Records a crash; returns the most crashes that one key has."""
        for key in keys:
            self._has_news |= self._touch(key).add((crash,), now_s)
        self._drop_oldest()
        return self.crashes(keys)

    def clear(self, keys: Iterable[SuspectKey], now_s: float) -> None:
        """Clears the keys of a request that ran."""
        for key in keys:
            suspect = self._suspects.get(key)
            if suspect is not None and suspect.crashes:
                self._touch(key).clear(suspect.crashes, now_s)
                self._has_news = True

    def crashes(self, keys: Iterable[SuspectKey]) -> int:
        """Returns the most crashes that one of the keys has."""
        found = map(self._suspects.get, keys)
        return max((len(one.crashes) for one in found if one), default=0)

    def is_quarantined(
        self, keys: Collection[SuspectKey], now_s: float
    ) -> bool:
        """Returns whether a request with these keys must not run."""
        return any(
            self._has_too_many(key, now_s) and not self._is_explained(key, keys)
            for key in keys
        )

    def merge(
        self, reports: Mapping[SuspectKey, SuspectReport], now_s: float
    ) -> None:
        """Adds what a peer reported."""
        for key, report in reports.items():
            suspect = self._suspects.setdefault(key, _Suspect())
            suspect.clear(report.cleared, now_s)
            if suspect.add(report.crashes, now_s):
                self._suspects.move_to_end(key)
        self._drop_oldest()

    def reports(self, now_s: float) -> dict[SuspectKey, SuspectReport]:
        """Returns what peers are told now; after some calls they know all."""
        new: list[SuspectKey] = []
        repeated: list[SuspectKey] = []
        others: list[SuspectKey] = []
        for key, one in reversed(self._suspects.items()):
            if now_s - one.changed_s < NEWS_S and len(new) < MAX_GOSSIP_NEW:
                new.append(key)
            elif len(one.crashes) > 1 and len(repeated) < MAX_GOSSIP_REPEATED:
                repeated.append(key)
            else:
                others.append(key)
        chosen = [*new, *repeated, *self._take_turn(others)]
        return {key: self._suspects[key].report() for key in chosen}

    def _take_turn(self, others: list[SuspectKey]) -> list[SuspectKey]:
        """Returns the next of the keys that are told in turn."""
        start = self._next_other if self._next_other < len(others) else 0
        self._next_other = start + MAX_GOSSIP_OTHERS
        return others[start : self._next_other]

    def take_news(self) -> bool:
        """Returns whether this node saw anything new since the last call."""
        has_news, self._has_news = self._has_news, False
        return has_news

    def _has_too_many(self, key: SuspectKey, now_s: float) -> bool:
        suspect = self._suspects.get(key)
        return suspect is not None and now_s < suspect.refused_until_s

    def _is_explained(
        self, key: SuspectKey, keys: Collection[SuspectKey]
    ) -> bool:
        """Returns whether a key outside the request explains all crashes."""
        crashes = self._suspects[key].crashes.keys()
        return any(
            crashes <= other.crashes.keys()
            for other_key, other in self._suspects.items()
            if other_key not in keys
        )

    def _touch(self, key: SuspectKey) -> _Suspect:
        """Returns the suspect, which becomes the newest one."""
        suspect = self._suspects.setdefault(key, _Suspect())
        self._suspects.move_to_end(key)
        return suspect

    def _drop_oldest(self) -> None:
        """Drops the oldest keys that aren't refused, if there are too many."""
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        droppable = [
            key
            for key, one in self._suspects.items()
            if len(one.crashes) < CRASHES_TO_REFUSE
        ]
        for key in (droppable or list(self._suspects))[:excess]:
            del self._suspects[key]


__all__ = (
    'CRASHES_TO_REFUSE',
    'CRASHES_TO_STOP_RETRY',
    'MAX_GOSSIP_NEW',
    'MAX_SUSPECTS',
    'MIN_REFUSAL_S',
    'CrashId',
    'CrashSuspects',
    'SuspectKey',
    'SuspectReport',
)
