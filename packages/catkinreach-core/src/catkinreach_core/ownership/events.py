"""Events of leases at their holder, for logs and for the checker."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from ..ids import Incarnation, ShardId, VmId


class LeaseEventKind(Enum):
    """Kind of a lease event."""

    ACQUIRED = 'acquired'
    EXTENDED = 'extended'
    ACQUIRE_FAILED = 'acquire-failed'
    LOST = 'lost'
    RELEASED = 'released'


class LeaseEvent(Struct, frozen=True, kw_only=True):
    """A change of a lease at its holder.

    Attributes:
        kind: Kind of the event.
        shard: Shard of the lease.
        vm_id: VM of the holder.
        incarnation: Incarnation of the holder.
        term: Term of the lease.
        at_s: Time of the event by the monotonic clock of the holder.
        wall_ms: Time by the wall clock of the holder, in milliseconds.
        until_s: Monotonic clock until which the holder may act; the end of
            the tenure for ``LOST`` and ``RELEASED``.
    """

    kind: LeaseEventKind
    shard: ShardId
    vm_id: VmId
    incarnation: Incarnation
    term: int
    at_s: float
    wall_ms: int
    until_s: float = 0.0


__all__ = ('LeaseEvent', 'LeaseEventKind')
