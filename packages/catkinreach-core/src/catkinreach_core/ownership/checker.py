"""Checks from the event logs of nodes that no shard had two owners at once.

All logs must use the same clock: either all nodes ran on one machine, or the
times were converted to a common clock before.
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
    """A period in which a process could act as owner of a shard.

    Attributes:
        shard: Shard that was owned.
        vm_id: VM of the owner.
        incarnation: Incarnation of the owner.
        term: Term of the tenure.
        from_s: Time at which the tenure started.
        until_s: Latest time at which the owner could act.
    """

    shard: ShardId
    vm_id: VmId
    incarnation: Incarnation
    term: int
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Violation:
    """Two successive periods of a shard that violate the lease protocol.

    Either they overlap or the term does not increase.
    """

    first: OwnedPeriod
    second: OwnedPeriod

    def __str__(self) -> str:
        """Returns a readable description in one line."""
        return (
            f'{self.first.shard}: {self.first.vm_id} in term '
            f'{self.first.term} until {self.first.until_s:.3f} s, '
            f'{self.second.vm_id} in term {self.second.term} '
            f'from {self.second.from_s:.3f} s'
        )


def owned_periods(events: Iterable[LeaseEvent]) -> list[OwnedPeriod]:
    """Returns all tenures in the logs, by shard and start time."""
    periods: dict[tuple[ShardId, Incarnation, int], OwnedPeriod] = {}
    for event in events:
        key = (event.shard, event.incarnation, event.term)
        if event.kind is LeaseEventKind.ACQUIRED:
            periods[key] = OwnedPeriod(
                event.shard,
                event.vm_id,
                event.incarnation,
                event.term,
                event.at_s,
                event.until_s,
            )
        elif key in periods and event.kind is LeaseEventKind.EXTENDED:
            periods[key].until_s = max(periods[key].until_s, event.until_s)
        elif key in periods and event.kind is LeaseEventKind.RELEASED:
            periods[key].until_s = event.until_s
    return sorted(
        periods.values(), key=lambda period: (period.shard, period.from_s)
    )


def check_events(events: Iterable[LeaseEvent]) -> tuple[Violation, ...]:
    """Returns the pairs of successive tenures of a shard in violation."""
    return tuple(
        Violation(first, second)
        for first, second in pairwise(owned_periods(events))
        if first.shard == second.shard
        and (first.until_s > second.from_s or first.term >= second.term)
    )


__all__ = ('OwnedPeriod', 'Violation', 'check_events', 'owned_periods')
