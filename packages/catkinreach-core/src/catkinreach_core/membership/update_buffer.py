"""News of members waiting to ride on heartbeats."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .timing import MAX_UPDATES, UPDATE_ROUNDS_FACTOR

if TYPE_CHECKING:
    from ..ids import VmId
    from ..messages.membership import MemberUpdate


class UpdateBuffer:
    """Sends each update a bounded number of times, the freshest first."""

    def __init__(self) -> None:
        """Starts without news."""
        self._updates: dict[VmId, MemberUpdate] = {}
        self._sent: dict[VmId, int] = {}

    def add(self, update: MemberUpdate) -> None:
        """Replaces the news of a member."""
        self._updates[update.vm_id] = update
        self._sent[update.vm_id] = 0

    def take(self, fleet_size: int) -> tuple[MemberUpdate, ...]:
        """Returns the updates for one heartbeat."""
        rounds = UPDATE_ROUNDS_FACTOR * math.ceil(math.log2(fleet_size + 1))
        chosen = sorted(self._sent, key=self._sent.__getitem__)[:MAX_UPDATES]
        taken = tuple(self._updates[vm_id] for vm_id in chosen)
        for vm_id in chosen:
            self._sent[vm_id] += 1
            if self._sent[vm_id] >= rounds:
                del self._sent[vm_id]
                del self._updates[vm_id]
        return taken


__all__ = ('UpdateBuffer',)
