"""Follows the configuration store and updates the node's view."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from catkinreach_core.gateway.feed import HistoryLost
from catkinreach_core.gateway.store_position import era_of

from .decision_log import Event
from .store_reads import StoreReads
from .store_relay_link import StoreRelayLink
from .view_updater import ViewUpdater

if TYPE_CHECKING:
    from catkinreach_core.gateway.feed import ChangeBatch, StoreFeed

    from .node import Node

MAX_WATCH_WAIT_S = 2.0
"""Longest long poll of a watch."""

WATCH_WAIT_RATIO = 0.45
"""The same, as a fraction of the time within which a published change must
apply: a watch whose connection is dead delays a change by a poll at most."""

WATCH_ANSWER_S = 0.5
"""Time beyond the long poll in which an answer to a watch is expected."""

LIST_ANSWER_S = 1.5
"""Time in which a listing is expected."""

BATCH_INTERVAL_S = 0.3
"""Pause after a batch, so that a burst of changes is read in one call."""

MIN_EXPIRY_OUTAGE_S = 1.0
"""Outage of the store from which entries may have expired: that takes more than
one missed heartbeat of an upstream, and a cut watch is no outage."""

DEPENDENCY = 'store'


class StoreTask:
    """Lists the store, then watches it; lists again when history is lost.

    In a large fleet it pauses while readers of the fleet pass changes on.
    """

    def __init__(self, node: Node, feed: StoreFeed) -> None:
        """Prepares the task; nothing is read yet."""
        self._node = node
        self._feed = feed
        self._lost_at_s: float | None = None
        bounds = node.settings.bounds
        self._watch_wait_s = min(
            MAX_WATCH_WAIT_S, WATCH_WAIT_RATIO * bounds.apply_within_s
        )
        self._reads = StoreReads(
            self._record_outage, node.rng, lambda: feed.received_bytes
        )
        self._updater = ViewUpdater(node)
        node.store_bytes = lambda: feed.received_bytes
        node.stream_versions.use_store(self._read_changes)
        self._relay = StoreRelayLink(node, self._updater)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._relay.run())
            while True:
                await self._list_all()
                await self._watch()

    async def _list_all(self) -> None:
        listing = await self._reads.first_answer(
            self._feed.list_all,
            self._feed.list_all,
            answer_within_s=LIST_ANSWER_S,
        )
        if era_of(listing.revision) < era_of(self._node.revision):
            return
        self._record_recovery()
        # A peer may have passed on newer entries meanwhile.
        if listing.revision >= self._node.revision:
            self._updater.apply_listing(listing)
        self._relay.record_listing(self._node.revision)

    async def _watch(self) -> None:
        """Watches until the store no longer has the next changes."""
        while True:
            await self._relay.wait_until_needed()
            wait_s = self._relay.watch_wait_s(self._watch_wait_s)
            try:
                batch = await self._reads.first_answer(
                    partial(self._feed.watch, self._node.revision, wait_s),
                    self._read_changes,
                    answer_within_s=wait_s + WATCH_ANSWER_S,
                )
            except HistoryLost:
                return
            self._record_recovery()
            self._apply_batch(batch)
            if batch.changes:
                await asyncio.sleep(BATCH_INTERVAL_S)

    async def _read_changes(self) -> ChangeBatch:
        """Reads the changes so far; doesn't wait for one."""
        return await self._feed.watch(self._node.revision, 0.0)

    def _apply_batch(self, batch: ChangeBatch) -> None:
        """Applies changes, unless a reader passed newer ones on meanwhile."""
        if batch.revision < self._node.revision:
            return
        for change in batch.changes:
            self._updater.apply_change(change)
        self._updater.complete(batch.revision)
        self._relay.record_batch(batch)

    def _record_outage(
        self, reason: str, call_s: float, silent_s: float
    ) -> None:
        """Logs that the store is lost, once.

        Args:
            reason: Why it is.
            call_s: Time since the call began that it didn't answer.
            silent_s: Time for which it is known to have been silent.
        """
        if self._lost_at_s is not None:
            return
        self._lost_at_s = self._node.clock() - silent_s
        self._node.view.record_store_loss()
        self._node.log.write(
            Event.DEPENDENCY_LOST,
            dependency=DEPENDENCY,
            reason=reason,
            revision=self._node.revision,
            call_s=round(call_s, 3),
            read_age_s=self._read_age_s(),
        )

    def _read_age_s(self) -> float | None:
        """Returns the age of the last read, for the log."""
        age_s = self._node.store_read_age_s
        return None if age_s is None else round(age_s, 3)

    def _record_recovery(self) -> None:
        earlier_read_age_s = self._read_age_s()
        self._node.store_read_at_s = self._node.clock()
        if self._lost_at_s is None:
            return
        now_s = self._node.clock()
        outage_s, self._lost_at_s = now_s - self._lost_at_s, None
        self._node.view.record_store_read()
        if outage_s >= MIN_EXPIRY_OUTAGE_S:
            self._node.view.record_store_recovery(now_s)
        self._node.log.write(
            Event.DEPENDENCY_BACK,
            dependency=DEPENDENCY,
            revision=self._node.revision,
            read_age_s=earlier_read_age_s,
            outage_s=round(outage_s, 3),
            peers_revision=self._node.peer_reports.newest_revision,
        )


__all__ = ('StoreTask',)
