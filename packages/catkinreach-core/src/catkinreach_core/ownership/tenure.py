"""Interface through which other components read shard ownership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..ids import Incarnation, ShardId, VmId


@dataclass(frozen=True, slots=True)
class Tenure:
    """An uninterrupted period in which a node owns a shard.

    Attributes:
        shard: Shard that is owned.
        owner: VM of the owner.
        incarnation: Incarnation of the owner's process.
        term: Number that increases with each tenure of the shard.
        started_at_s: Owner's monotonic clock when the tenure started.
        expires_at_s: Time by the owner's monotonic clock until which it may
            act.
        predecessor_term: Term of the tenure right before this one, 0 if
            unknown. State handed over by an earlier owner is complete only
            if it was handed over under this term.
    """

    shard: ShardId
    owner: VmId
    incarnation: Incarnation
    term: int
    started_at_s: float
    expires_at_s: float
    predecessor_term: int = 0


class OwnershipView(Protocol):
    """Read access to ownership, for owners and for nodes that call them."""

    def tenure_of(self, shard: ShardId, now_s: float) -> Tenure | None:
        """Returns this node's tenure if it may act as owner right now."""

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the likely owner of the shard, a hint that may be stale."""


__all__ = ('OwnershipView', 'Tenure')
