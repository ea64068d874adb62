"""Ownership by rendezvous hashing alone, a baseline for measurements."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..fleet_list import VmState
from ..rendezvous import rank_vms
from .tenure import OwnershipView, Tenure

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..fleet_list import VmList
    from ..ids import Incarnation, ShardId, VmId


class StaticOwnership(OwnershipView):
    """Makes the first-ranked live VM of the list the owner, without leases.

    Two nodes with different lists may both act as owner of a shard.
    """

    def __init__(
        self,
        vm_id: VmId,
        incarnation: Incarnation,
        vm_list: Callable[[], VmList],
    ) -> None:
        """Reads the current list through ``vm_list``."""
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._vm_list = vm_list

    def tenure_of(self, shard: ShardId, now_s: float) -> Tenure | None:
        """Returns a tenure without expiry if this VM ranks first."""
        del now_s
        if self.owner_of(shard) != self._vm_id:
            return None
        return Tenure(
            shard=shard,
            owner=self._vm_id,
            incarnation=self._incarnation,
            term=self._vm_list().revision,
            started_at_s=0,
            expires_at_s=math.inf,
        )

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the live VM that ranks first."""
        live = [
            entry.id
            for entry in self._vm_list().vms
            if entry.state is VmState.LIVE
        ]
        return rank_vms(shard, live)[0] if live else None


__all__ = ('StaticOwnership',)
