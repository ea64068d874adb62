"""Draws the faults of one run from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

MEAN_PAUSE_S: Final = 0.45
"""Mean time between the beginnings of two faults; they overlap."""

MIN_LENGTH_S: Final = 0.1
MAX_LENGTH_S: Final = 3.0
SERIES_SHARE: Final = 0.3
MAX_SERIES: Final = 4
SERIES_PAUSE_S: Final = 0.3


class Subject(Enum):
    """What a fault is done to."""

    FRONT = 'front'
    UPSTREAM = 'upstream'
    STORE = 'store'
    LINK = 'link'


class FaultKind(Enum):
    """Everything that a run may do, with its subject."""

    KILL = ('kill', Subject.FRONT)
    ROLL = ('roll', Subject.FRONT)
    PAUSE = ('pause', Subject.FRONT)
    RELOAD = ('reload', Subject.FRONT)
    RESET = ('reset', Subject.LINK)
    CUT = ('cut', Subject.LINK)
    HOLD_BACK = ('hold-back', Subject.LINK)
    LOSE_UP = ('lose-up', Subject.LINK)
    LOSE_DOWN = ('lose-down', Subject.LINK)
    DELAY = ('delay', Subject.LINK)
    STORE_BUSY = ('store-busy', Subject.STORE)
    STORE_LIMITS = ('store-limits', Subject.STORE)
    STORE_RESETS = ('store-resets', Subject.STORE)
    STORE_SILENT = ('store-silent', Subject.STORE)
    STORE_COMPACTS = ('store-compacts', Subject.STORE)
    CONFIGURE = ('configure', Subject.STORE)
    MISBEHAVE = ('misbehave', Subject.UPSTREAM)
    DRAIN = ('drain', Subject.UPSTREAM)
    DELIST = ('delist', Subject.UPSTREAM)

    @property
    def subject(self) -> Subject:
        """Returns what the fault is done to."""
        subject: Subject = self.value[1]
        return subject


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        kind: What is done.
        target: Name of the front, upstream or link; empty for the store.
        at_s: Seconds from the start of the run.
        for_s: How long it lasts, where it lasts.
    """

    kind: FaultKind
    target: str
    at_s: float
    for_s: float


def make_plan(
    seed: int,
    duration_s: float,
    targets: Mapping[Subject, Sequence[str]],
) -> tuple[Fault, ...]:
    """Returns the faults of a run in the order of their beginnings."""
    faults = _draw(random.Random(seed), duration_s, targets)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw(
    rng: random.Random,
    duration_s: float,
    targets: Mapping[Subject, Sequence[str]],
) -> Iterator[Fault]:
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1 / MEAN_PAUSE_S)) < duration_s:
        kind = rng.choice(tuple(FaultKind))
        target = rng.choice(targets.get(kind.subject) or ('',))
        is_series = rng.random() < SERIES_SHARE
        count = rng.randint(2, MAX_SERIES) if is_series else 1
        begins_s = at_s
        for _ in range(count):
            for_s = rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S) / count
            yield Fault(kind, target, begins_s, for_s)
            begins_s += for_s + rng.uniform(0, SERIES_PAUSE_S)


__all__ = ('Fault', 'FaultKind', 'Subject', 'make_plan')
