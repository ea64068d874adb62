"""Applies the store's entries to the node's view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.gateway.feed import (
    CatalogPublished,
    DomainEvacuated,
    DomainRestored,
    EntryUnreadable,
    UpstreamPublished,
    UpstreamRemoved,
)
from catkinreach_core.gateway.store_position import era_of, is_restored

from .decision_log import Event

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import Catalog
    from catkinreach_core.gateway.feed import Change, Listing
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import Revision, UpstreamId

    from .node import Node


class ViewUpdater:
    """Updates the view, and drops what was known of upstreams that went."""

    def __init__(self, node: Node) -> None:
        """Prepares the updates of one node."""
        self._node = node

    def apply_listing(self, listing: Listing) -> None:
        """Replaces the view by a listing of all entries."""
        if is_restored(listing.revision, self._node.revision):
            self._record_restore(listing.revision)
        upstreams: list[Upstream] = []
        evacuated = set()
        for change in listing.changes:
            if isinstance(change, UpstreamPublished):
                upstreams.append(change.upstream)
            elif isinstance(change, DomainEvacuated):
                evacuated.add(change.domain_id)
            else:
                self.apply_change(change)
        for upstream in upstreams:
            self._forget_earlier_incarnation(upstream)
        self._node.view.replace_upstreams(upstreams, self._node.clock())
        known = self._node.view.listed_evacuated
        for domain_id in known - evacuated:
            self.apply_change(DomainRestored(domain_id))
        for domain_id in evacuated - known:
            self.apply_change(DomainEvacuated(domain_id))
        self.complete(listing.revision)

    def _record_restore(self, position: Revision) -> None:
        self._node.view.record_store_restore(self._node.clock())
        self._node.log.write(
            Event.STORE_RESTORED,
            era=era_of(position),
            earlier_era=era_of(self._node.revision),
            revision=position,
            earlier_revision=self._node.revision,
        )

    def complete(self, revision: Revision) -> None:
        """Notes up to which revision all changes are applied."""
        self._node.revision = revision
        for change in self._node.early_changes.beyond(revision):
            self.apply_change(change)

    def apply_change(self, change: Change) -> None:
        """Applies one change to the view."""
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
            self._node.apply_limits(catalog)
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
            software_version=upstream.software_version,
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
        self._node.limits.forget(upstream_id)

    def _log_domain(self, domain_id: str, state: str) -> None:
        self._node.log.write(
            Event.DOMAIN,
            domain=domain_id,
            state=state,
            revision=self._node.revision,
        )


__all__ = ('ViewUpdater',)
