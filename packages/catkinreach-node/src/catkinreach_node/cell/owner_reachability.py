"""Whether an entry node can reach the owner of one cell."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from catkinreach_core.ids import ShardId, VmId
    from catkinreach_core.ownership.tenure import OwnershipView

OWNER_UNREACHABLE_S = 1.0
"""Time for which an owner counts as unreachable after a failed call.

The node places requests locally during this time.
"""


class OwnerReachability:
    """Records the calls to the owner that failed and that succeeded."""

    def __init__(self, ownership: OwnershipView, shard: ShardId) -> None:
        """Starts with an owner that counts as reachable once known."""
        self._ownership = ownership
        self._shard = shard
        self._unreachable_until_s = 0.0
        self._without_owner_since_s = time.monotonic()
        self._owner_lost = asyncio.Event()

    @property
    def without_owner_s(self) -> float:
        """Returns the time since an owner last replied to a renewal."""
        return time.monotonic() - self._without_owner_since_s

    def known_owner(self) -> VmId | None:
        """Returns the owner, whether it is reachable or not."""
        return self._ownership.owner_of(self._shard)

    def reachable_owner(self) -> VmId | None:
        """Returns the owner unless it counts as unreachable."""
        if time.monotonic() < self._unreachable_until_s:
            return None
        return self.known_owner()

    def mark_unreachable(self, owner: VmId) -> None:
        """Records that a call to the owner failed."""
        if not self._owner_lost.is_set():
            logger.warning(
                'cell: lost the owner of {}: {} is unreachable.',
                self._shard,
                owner,
            )
        self._unreachable_until_s = time.monotonic() + OWNER_UNREACHABLE_S
        self._owner_lost.set()

    def mark_reached(self) -> None:
        """Records that the owner replied to a renewal."""
        self._unreachable_until_s = 0.0
        self._without_owner_since_s = time.monotonic()
        self._owner_lost.clear()

    async def wait_until_lost(self) -> None:
        """Returns once a call has failed since the owner last replied."""
        await self._owner_lost.wait()


__all__ = ('OwnerReachability',)
