"""Requests, and parts of prompts, that crash the upstreams that run them.

Load pattern: requests that are all different have one part of their prompts in
common, or one caller repeats the same request, and each upstream that starts to
answer them crashes. Harmless requests have the same caller and other parts.

A request has several suspect keys: the fingerprint of the whole request, and
each part of its prompt that other requests may share. An upstream that
disconnects while requests start on it, and is unreachable afterwards, is one
crash of each of their keys. A request that runs clears its keys of earlier
crashes. A request is refused if one of its keys has too many crashes, unless
another key, which the request doesn't have, explains them: it has more crashes
and was part of all but a few of these.

If several keys have as many crashes, and nearly the same ones, one of them is
the cause, and only requests that have just one can show which: one request of
one node at a time is tried. If it runs, its keys are cleared; if not, they have
a crash more than the others. A refusal ends with such a trial, too, not for all
requests.

Nodes exchange the crashes themselves, not counts of them. A crash that several
nodes saw counts once, and what a node knew survives its end. If all nodes start
again, what they learn anew may be trials of a key that was refused before: it
is then refused for as long as after so many trials.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from .crash_log import CrashLog
from .crash_memory import CrashMemory
from .crash_reports import (
    CrashReport,
    CrashSource,
    SeenCrash,
    SuspectKey,
    SuspectReport,
)
from .datagram_ranges import MAX_AGE_MS
from .suspect import CRASHES_TO_REFUSE, MIN_REFUSAL_S
from .trial import Trial

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator

    from .crash_log import Crash
    from .suspect import Suspect

CRASHES_TO_STOP_RETRY = 2
"""Crashes of one of its keys after which a request that crashed an upstream
isn't sent to another one."""

RANK_DELAY_S = 0.1
"""Time by which each node tries a refused key later than the one before it."""

MAX_SUSPECTS = 2_000
MAX_GOSSIP_NEW = 12
MAX_GOSSIP_REPEATED = 8
MAX_GOSSIP_OTHERS = 8
"""Maximum numbers of keys in one report: those that changed lately, those with
several crashes, and in turn all others."""

MAX_GOSSIP_CRASHES = 96
"""Number of crashes in one report from which no more keys are added."""

NEWS_S = 5.0
"""Time for which a key counts as changed lately."""

MS_PER_S = 1000


class _Permit(Enum):
    """Whether a request with a key may run."""

    FREE = 'free'
    TRIAL = 'trial'
    REFUSED = 'refused'


class CrashSuspects:
    """Crashes by suspect key, as this node and its peers saw them."""

    def __init__(
        self,
        rank_of: Callable[[SuspectKey], int] = lambda _: 0,
        *,
        started_s: float = -math.inf,
    ) -> None:
        """Starts without suspects.

        Args:
            rank_of: Returns this node's place, from 0, in the order in which
                nodes try a key again.
            started_s: Time from which this node has seen crashes.
        """
        self._rank_of = rank_of
        self._log = CrashLog()
        self._memory = CrashMemory(started_s)
        self._suspects: OrderedDict[SuspectKey, Suspect] = OrderedDict()
        self._trial = Trial()
        self._has_news = False
        self._next_other = 0

    def record_crash(
        self, keys: Collection[SuspectKey], source: CrashSource, now_s: float
    ) -> int:
        """Records a crash; returns the most crashes that one key has."""
        crash = self._log.identify(source, now_s)
        self._trial.end(keys)
        for key in keys:
            self._has_news |= self._touch(key).add((crash,), now_s)
        self._drop_oldest()
        return self.crashes(keys)

    def record_up(self, source: CrashSource, now_s: float) -> None:
        """Records that what crashed accepts connections again."""
        self._log.record_up(source, now_s)

    def clear(
        self, keys: Collection[SuspectKey], ran_at_s: float, now_s: float
    ) -> None:
        """Clears the keys of a request that began to run at a time."""
        self._memory.record_run(keys, ran_at_s, now_s)
        self._trial.end(keys)
        for key in keys:
            suspect = self._suspects.get(key)
            if suspect is not None and suspect.clear(ran_at_s, now_s):
                self._suspects.move_to_end(key)
                self._has_news = True

    def clear_now(self, keys: Collection[SuspectKey], now_s: float) -> None:
        """Clears the keys of a request that has run."""
        self.clear(keys, now_s, now_s)

    def crashes(self, keys: Iterable[SuspectKey]) -> int:
        """Returns the most crashes that one of the keys has."""
        found = map(self._suspects.get, keys)
        return max((len(one.crashes) for one in found if one), default=0)

    def is_quarantined(
        self,
        keys: Collection[SuspectKey],
        now_s: float,
        *,
        begins_run: bool = True,
    ) -> bool:
        """Returns whether a request with these keys must not run now.

        Args:
            keys: Keys of the request, the same object at each call for it.
            now_s: The current time.
            begins_run: Whether the request runs next. If it may only be tried,
                it then keeps others like it out.
        """
        permits = {self._permit(key, keys, now_s) for key in keys}
        if _Permit.REFUSED in permits:
            return True
        if _Permit.TRIAL not in permits:
            return False
        if begins_run:
            return not self._trial.try_begin(keys, now_s)
        return not self._trial.is_open_to(keys, now_s)

    def end_trial(self, keys: Collection[SuspectKey]) -> None:
        """Ends the trial of a request that didn't run after all."""
        self._trial.end(keys)

    def merge(self, report: CrashReport, now_s: float) -> None:
        """Adds what a peer reported."""
        self._memory.extend(report.memory_ms / MS_PER_S, now_s)
        crashes = self._log.identify_reported(
            [
                (seen.source, now_s - seen.age_ms / MS_PER_S)
                for seen in report.crashes
            ]
        )
        for key, told in report.suspects.items():
            suspect = self._find_or_add(key)
            if told.ran_ms_ago is not None:
                suspect.clear(now_s - told.ran_ms_ago / MS_PER_S, now_s)
            found = [crashes[index] for index in told.crashes]
            if suspect.add(found, now_s):
                self._suspects.move_to_end(key)
        self._drop_oldest()

    def report(self, now_s: float) -> CrashReport:
        """Returns what peers are told now; after some calls they know all."""
        told: dict[Crash, int] = {}
        suspects = {}
        for key in self._choose_keys(now_s):
            suspect = self._suspects[key]
            for crash in suspect.crashes:
                told.setdefault(crash, len(told))
            suspects[key] = SuspectReport(
                [told[crash] for crash in suspect.crashes],
                None
                if math.isinf(suspect.ran_at_s)
                else _to_ms(now_s - suspect.ran_at_s),
            )
            if len(told) >= MAX_GOSSIP_CRASHES:
                break
        return CrashReport(
            [SeenCrash(one.source, _to_ms(now_s - one.at_s)) for one in told],
            suspects,
            _to_ms(self._memory.age_s(now_s)),
        )

    def take_news(self) -> bool:
        """Returns whether this node saw anything new since the last call."""
        has_news, self._has_news = self._has_news, False
        return has_news

    def _permit(
        self, key: SuspectKey, keys: Collection[SuspectKey], now_s: float
    ) -> _Permit:
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.has_too_many:
            return _Permit.FREE
        others = [
            other
            for other_key, other in self._suspects.items()
            if other_key not in keys and other.has_too_many
        ]
        if any(map(suspect.is_explained_by, others)):
            return _Permit.FREE
        delay_s = self._rank_of(key) * RANK_DELAY_S
        end_s = suspect.refusal_end_s(
            others, may_lack_crashes=self._memory.may_lack_crashes(suspect)
        )
        if now_s < end_s + delay_s:
            return _Permit.REFUSED
        return _Permit.TRIAL

    def _choose_keys(self, now_s: float) -> Iterator[SuspectKey]:
        """Yields the keys of a report: news, repeated ones, some others."""
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
        yield from (*new, *repeated, *self._take_turn(others))

    def _take_turn(self, others: list[SuspectKey]) -> list[SuspectKey]:
        """Returns the next of the keys that are told in turn."""
        start = self._next_other if self._next_other < len(others) else 0
        self._next_other = start + MAX_GOSSIP_OTHERS
        return others[start : self._next_other]

    def _touch(self, key: SuspectKey) -> Suspect:
        """Returns the suspect, which becomes the newest one."""
        suspect = self._find_or_add(key)
        self._suspects.move_to_end(key)
        return suspect

    def _find_or_add(self, key: SuspectKey) -> Suspect:
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = self._suspects[key] = self._memory.new_suspect(key)
        return suspect

    def _drop_oldest(self) -> None:
        """Drops the oldest keys that aren't refused, if there are too many."""
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        droppable = [
            key for key, one in self._suspects.items() if not one.has_too_many
        ]
        for key in (droppable or list(self._suspects))[:excess]:
            del self._suspects[key]


def _to_ms(duration_s: float) -> int:
    return round(min(MAX_AGE_MS, max(0.0, duration_s * MS_PER_S)))


__all__ = (
    'CRASHES_TO_REFUSE',
    'CRASHES_TO_STOP_RETRY',
    'MAX_GOSSIP_NEW',
    'MAX_SUSPECTS',
    'MIN_REFUSAL_S',
    'RANK_DELAY_S',
    'CrashReport',
    'CrashSource',
    'CrashSuspects',
    'SuspectKey',
)
