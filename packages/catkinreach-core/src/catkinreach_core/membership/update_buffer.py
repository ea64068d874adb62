"""Buffer of member updates that heartbeats carry to other nodes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .timing import MAX_UPDATES, UPDATE_ROUNDS_FACTOR

if TYPE_CHECKING:
    from ..ids import VmId
    from ..messages.membership import MemberUpdate


class UpdateBuffer:
    """Sends each update a bounded number of times, least sent first.

    This is the dissemination buffer of SWIM: an update is dropped after a
    multiple of log2(fleet size) sends, enough to reach every member with high
    probability.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._updates: dict[VmId, MemberUpdate] = {}
        self._sent: dict[VmId, int] = {}

    def add(self, update: MemberUpdate) -> None:
        """Adds an update; it replaces an older one of the same member."""
        self._updates[update.vm_id] = update
        self._sent[update.vm_id] = 0

    def take(self, fleet_size: int) -> tuple[MemberUpdate, ...]:
        """Returns the updates for one heartbeat and counts them as sent."""
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
