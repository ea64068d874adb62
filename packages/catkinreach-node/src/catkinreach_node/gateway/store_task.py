"""Follows the configuration store and updates the node's view."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.feed import (
    CatalogPublished,
    DomainEvacuated,
    DomainRestored,
    EntryUnreadable,
    HistoryLost,
    StoreUnavailable,
    UpstreamPublished,
    UpstreamRemoved,
)

from .decision_log import Event

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import Catalog
    from catkinreach_core.gateway.feed import (
        Change,
        Listing,
        StoreFeed,
    )
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import Revision, UpstreamId

    from .node import Node

WATCH_WAIT_S = 2.0
"""Long-poll time of a watch; bounds how late a dead connection is noticed."""

BATCH_INTERVAL_S = 0.3
"""Pause after a batch, so that a burst of changes is read in one call."""

MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.6
DEPENDENCY = 'store'


class StoreTask:
    """Lists the store, then watches it; lists again when history is lost."""

    def __init__(self, node: Node, feed: StoreFeed) -> None:
        """Prepares the task; nothing is read yet."""
        self._node = node
        self._feed = feed
        self._is_unavailable = False
        self._retry_s = MIN_RETRY_S

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            revision = await self._list_all()
            await self._watch_from(revision)

    async def _list_all(self) -> Revision:
        while True:
            try:
                listing = await self._feed.list_all()
            except StoreUnavailable as error:
                await self._record_outage(str(error))
            except HistoryLost:
                await self._record_outage('history lost')
            else:
                self._record_recovery()
                self._apply_listing(listing)
                return listing.revision

    async def _watch_from(self, revision: Revision) -> None:
        """Watches until the store no longer has the next changes."""
        while True:
            try:
                batch = await self._feed.watch(revision, WATCH_WAIT_S)
            except StoreUnavailable as error:
                await self._record_outage(str(error))
                continue
            except HistoryLost:
                return
            self._record_recovery()
            for change in batch.changes:
                self._apply_change(change)
            revision = batch.revision
            self._node.revision = revision
            if batch.changes:
                await asyncio.sleep(BATCH_INTERVAL_S)

    async def _record_outage(self, reason: str) -> None:
        if not self._is_unavailable:
            self._is_unavailable = True
            self._node.log.write(
                Event.DEPENDENCY_LOST,
                dependency=DEPENDENCY,
                reason=reason,
                revision=self._node.revision,
            )
        await asyncio.sleep(self._retry_s * (0.5 + self._node.rng.random()))
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)

    def _record_recovery(self) -> None:
        self._retry_s = MIN_RETRY_S
        if not self._is_unavailable:
            return
        self._is_unavailable = False
        self._node.view.record_store_recovery(self._node.clock())
        self._node.log.write(
            Event.DEPENDENCY_BACK,
            dependency=DEPENDENCY,
            revision=self._node.revision,
        )

    def _apply_listing(self, listing: Listing) -> None:
        upstreams: list[Upstream] = []
        evacuated = set()
        for change in listing.changes:
            if isinstance(change, UpstreamPublished):
                upstreams.append(change.upstream)
            elif isinstance(change, DomainEvacuated):
                evacuated.add(change.domain_id)
            else:
                self._apply_change(change)
        for upstream in upstreams:
            self._forget_earlier_incarnation(upstream)
        self._node.view.replace_upstreams(upstreams, self._node.clock())
        for domain_id in self._node.view.evacuated - evacuated:
            self._apply_change(DomainRestored(domain_id))
        for domain_id in evacuated - self._node.view.evacuated:
            self._apply_change(DomainEvacuated(domain_id))
        self._node.revision = listing.revision

    def _apply_change(self, change: Change) -> None:
        match change:
            case CatalogPublished(catalog):
                self._apply_catalog(catalog)
            case UpstreamPublished(upstream):
                self._apply_upstream(upstream)
            case UpstreamRemoved(upstream_id):
                self._remove_upstream(upstream_id, 'entry removed')
            case DomainEvacuated(domain_id):
                self._node.view.evacuate_domain(domain_id)
                self._log_domain(domain_id, 'out')
            case DomainRestored(domain_id):
                self._node.view.restore_domain(domain_id)
                self._log_domain(domain_id, 'back')
            case EntryUnreadable():
                self._apply_unreadable(change)

    def _apply_catalog(self, catalog: Catalog) -> None:
        if self._node.view.accept_catalog(catalog):
            self._node.log.write(
                Event.CATALOG,
                version=catalog.version,
                routes=sum(map(len, catalog.routes.values())),
            )

    def _apply_unreadable(self, entry: EntryUnreadable) -> None:
        self._node.log.write(
            Event.ENTRY_UNREADABLE, key=entry.key, reason=entry.reason
        )
        if entry.upstream_id is not None:
            self._remove_upstream(entry.upstream_id, 'entry unreadable')

    def _apply_upstream(self, upstream: Upstream) -> None:
        self._forget_earlier_incarnation(upstream)
        known = self._node.view.find_upstream(upstream.upstream_id)
        if known is not None and known.upstream.stage is not upstream.stage:
            self._node.switching_engines.remove(upstream.upstream_id)
        self._node.view.put_upstream(upstream, self._node.clock())
        self._node.log.write(
            Event.UPSTREAM_KNOWN,
            upstream=upstream.upstream_id,
            service=upstream.service_id,
            domain=upstream.domain_id,
            state=upstream.state.value,
            stage=upstream.stage.value,
            cold_s=upstream.cold_s,
        )

    def _forget_earlier_incarnation(self, upstream: Upstream) -> None:
        """Drops the state of an earlier incarnation under the same id."""
        if self._node.view.is_new_incarnation(upstream):
            self._forget_upstream(upstream.upstream_id)

    def _remove_upstream(self, upstream_id: UpstreamId, reason: str) -> None:
        self._node.view.remove_upstream(upstream_id, self._node.clock())
        if self._node.view.find_upstream(upstream_id) is None:
            self._forget_upstream(upstream_id)
        self._node.log.write(
            Event.UPSTREAM_GONE, upstream=upstream_id, reason=reason
        )

    def _forget_upstream(self, upstream_id: UpstreamId) -> None:
        self._node.pool.drop(upstream_id)
        self._node.health.forget(upstream_id)
        self._node.cold_rate_limiter.forget(upstream_id)

    def _log_domain(self, domain_id: str, state: str) -> None:
        self._node.log.write(
            Event.DOMAIN,
            domain=domain_id,
            state=state,
            revision=self._node.revision,
        )


__all__ = ('WATCH_WAIT_S', 'StoreTask')
