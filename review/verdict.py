"""What RULES.md counts, from what clients and engines saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .client import Outcome
    from .engine import Engine
    from .fronts import Front
    from .record import Record

EXIT_HELD, EXIT_BROKEN, EXIT_UNABLE = 0, 10, 2
"""Codes of the Python program; ``run.sh`` makes 1 of 10 and 2 of all others but
0, as a traceback of Python ends with 1."""

MIN_CALM_SHARE = 0.9
"""Share of the requests before the disruption that must be served; otherwise
the case can't run."""

OK = 200


class UnableError(Exception):
    """The case can't run."""


def require_calm(outcomes: list[Outcome]) -> None:
    """Checks that the deployment serves before the disruption.

    Raises:
        UnableError: if it doesn't.
    """
    served = sum(one.status == OK for one in outcomes)
    if not outcomes or served < MIN_CALM_SHARE * len(outcomes):
        raise UnableError(f'only {served} of {len(outcomes)} served at first')


MAX_LOST = 3
"""LOST: a machine in touch passes a request from a kept channel on to a sound
engine and closes that channel without an answer, more than three times."""

MIN_ENDS = 3
MIN_VMS = 2
"""Fault: on a tenth of the machines in use, two at least, processes end by
themselves three times; memory over the limit counts."""


def lost_by_front(
    outcomes: Iterable[Outcome], engines: Iterable[Engine]
) -> dict[int, int]:
    """Returns the lost requests of each front VM."""
    passed_on = {one for engine in engines for one in engine.received}
    lost: dict[int, int] = {}
    for outcome in outcomes:
        is_lost = (
            outcome.end == 'closed'
            and outcome.was_kept
            and outcome.front is not None
            and outcome.request_id in passed_on
        )
        if is_lost:
            lost[outcome.front] = lost.get(outcome.front, 0) + 1
    return lost


def is_lost_broken(lost: dict[int, int], record: Record) -> bool:
    """Returns whether one machine broke LOST."""
    record.say(f'kept channels closed without an answer, by front: {lost}')
    return any(count > MAX_LOST for count in lost.values())


def is_fault(fronts: Iterable[Front], record: Record) -> bool:
    """Returns whether processes ended by themselves too often."""
    ends = {
        front.number: len(front.own_ends) + len(front.memory_kills)
        for front in fronts
    }
    record.say(f'ends of processes by themselves, by front: {ends}')
    return sum(count >= MIN_ENDS for count in ends.values()) >= MIN_VMS
