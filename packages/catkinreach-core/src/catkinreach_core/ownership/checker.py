"""Proves from nodes' event logs that no shard had two owners at once.

The times of all logs must be of one clock: that of one machine, or logs
whose times were brought to one clock before.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from .events import LeaseEvent, LeaseEventKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import Incarnation, ShardId, VmId


@dataclass(slots=True)
class OwnedPeriod:
    """A period in which one process could act as owner of a shard.

    Attributes:
        shard: What was owned.
        vm_id: Owner.
        incarnation: Incarnation of the owner.
        term: Term of the tenure.
        from_s: Beginning of the tenure.
        until_s: Latest moment at which the owner could act.
    """

    shard: ShardId
    vm_id: VmId
    incarnation: Incarnation
    term: int
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Violation:
    """Two periods of a shard that overlap, or whose terms do not grow."""

    first: OwnedPeriod
    second: OwnedPeriod

    def __str__(self) -> str:
        """Returns one line for people."""
        return (
            f'{self.first.shard}: {self.first.vm_id} in term '
            f'{self.first.term} until {self.first.until_s:.3f} s, '
            f'{self.second.vm_id} in term {self.second.term} '
            f'from {self.second.from_s:.3f} s'
        )


def owned_periods(events: Iterable[LeaseEvent]) -> list[OwnedPeriod]:
    """Returns every tenure in the logs, in the order of their beginning."""
    periods: dict[tuple[ShardId, Incarnation, int], OwnedPeriod] = {}
    for event in events:
        slot = (event.shard, event.incarnation, event.term)
        if event.kind is LeaseEventKind.ACQUIRED:
            periods[slot] = OwnedPeriod(
                event.shard,
                event.vm_id,
                event.incarnation,
                event.term,
                event.at_s,
                event.until_s,
            )
        elif slot in periods and event.kind is LeaseEventKind.EXTENDED:
            periods[slot].until_s = max(periods[slot].until_s, event.until_s)
        elif slot in periods and event.kind is LeaseEventKind.RELEASED:
            periods[slot].until_s = event.until_s
    return sorted(
        periods.values(), key=lambda period: (period.shard, period.from_s)
    )


def check_events(events: Iterable[LeaseEvent]) -> tuple[Violation, ...]:
    """Returns every pair of tenures of a shard that should not be."""
    return tuple(
        Violation(first, second)
        for first, second in pairwise(owned_periods(events))
        if first.shard == second.shard
        and (first.until_s > second.from_s or first.term >= second.term)
    )


__all__ = ('OwnedPeriod', 'Violation', 'check_events', 'owned_periods')
