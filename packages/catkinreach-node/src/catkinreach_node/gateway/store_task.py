"""Follows the configuration store and updates the node's view."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.feed import HistoryLost, StoreUnavailable

from .decision_log import Event
from .store_relay_link import StoreRelayLink
from .view_updater import ViewUpdater

if TYPE_CHECKING:
    from catkinreach_core.gateway.feed import ChangeBatch, StoreFeed

    from .node import Node

WATCH_WAIT_S = 2.0
"""Long-poll time of a watch; bounds how late a dead connection is noticed."""

BATCH_INTERVAL_S = 0.3
"""Pause after a batch, so that a burst of changes is read in one call."""

MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.6
DEPENDENCY = 'store'


class StoreTask:
    """Lists the store, then watches it; lists again when history is lost.

    In a large fleet it pauses while readers of the fleet pass changes on.
    """

    def __init__(self, node: Node, feed: StoreFeed) -> None:
        """Prepares the task; nothing is read yet."""
        self._node = node
        self._feed = feed
        self._is_unavailable = False
        self._began_s = 0.0
        self._retry_s = MIN_RETRY_S
        self._updater = ViewUpdater(node)
        self._relay = StoreRelayLink(node, self._updater)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._relay.run())
            while True:
                await self._list_all()
                await self._watch()

    async def _list_all(self) -> None:
        while True:
            self._began_s = self._node.clock()
            try:
                listing = await self._feed.list_all()
            except StoreUnavailable as error:
                await self._record_outage(str(error))
            except HistoryLost:
                await self._record_outage('history lost')
            else:
                self._record_recovery()
                self._updater.apply_listing(listing)
                self._relay.record_listing(listing.revision)
                return

    async def _watch(self) -> None:
        """Watches until the store no longer has the next changes."""
        while True:
            await self._relay.wait_until_needed()
            after = self._node.revision
            self._began_s = self._node.clock()
            try:
                batch = await self._feed.watch(
                    after, self._relay.watch_wait_s(WATCH_WAIT_S)
                )
            except StoreUnavailable as error:
                await self._record_outage(str(error))
                continue
            except HistoryLost:
                return
            self._record_recovery()
            self._apply_batch(batch)
            if batch.changes:
                await asyncio.sleep(BATCH_INTERVAL_S)

    def _apply_batch(self, batch: ChangeBatch) -> None:
        """Applies changes, unless a reader passed newer ones on meanwhile."""
        if batch.revision < self._node.revision:
            return
        for change in batch.changes:
            self._updater.apply_change(change)
        self._node.revision = batch.revision
        self._relay.record_batch(batch)

    async def _record_outage(self, reason: str) -> None:
        if not self._is_unavailable:
            self._is_unavailable = True
            self._node.log.write(
                Event.DEPENDENCY_LOST,
                dependency=DEPENDENCY,
                reason=reason,
                revision=self._node.revision,
                call_s=round(self._node.clock() - self._began_s, 3),
                read_age_s=self._read_age_s(),
            )
        await asyncio.sleep(self._retry_s * (0.5 + self._node.rng.random()))
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)

    def _read_age_s(self) -> float | None:
        """Returns the age of the last read, for the log."""
        age_s = self._node.store_read_age_s
        return None if age_s is None else round(age_s, 3)

    def _record_recovery(self) -> None:
        self._retry_s = MIN_RETRY_S
        earlier_read_age_s = self._read_age_s()
        self._node.store_read_at_s = self._node.clock()
        if not self._is_unavailable:
            return
        self._is_unavailable = False
        self._node.view.record_store_recovery(self._node.clock())
        self._node.log.write(
            Event.DEPENDENCY_BACK,
            dependency=DEPENDENCY,
            revision=self._node.revision,
            call_s=round(self._node.clock() - self._began_s, 3),
            read_age_s=earlier_read_age_s,
            peers_revision=self._node.peer_reports.newest_revision,
        )


__all__ = ('WATCH_WAIT_S', 'StoreTask')
