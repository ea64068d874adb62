"""A node's view of the configuration, upstreams and failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, structs

from .restored_store import RestoredStore
from .software_versions import SoftwareVersions
from .upstream import Upstream, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..ids import (
        FailureDomainId,
        ServiceId,
        SoftwareVersion,
        UpstreamId,
    )
    from .catalog import Catalog

EXPIRY_GRACE_S = 2.0
"""Time for upstreams to renew entries that expired during an outage."""


class KnownUpstream(Struct, kw_only=True):
    """An upstream with its times on this node's monotonic clock.

    Attributes:
        upstream: The upstream's entry in the store.
        cold_until_s: Time from which it is warm.
        removed_at_s: Time at which its entry was removed, ``None`` while it
            is listed.
    """

    upstream: Upstream
    cold_until_s: float
    removed_at_s: float | None = None

    def is_cold(self, now_s: float) -> bool:
        """Returns whether it is cold and can serve only little load."""
        return now_s < self.cold_until_s


class FleetView:
    """Configuration, upstreams and evacuated failure domains.

    An entry that disappears while the store recovers from an outage is kept for
    ``EXPIRY_GRACE_S``, since a live upstream renews it by then. It is used only
    while half of its service or more has disappeared: this node can't tell an
    outage of the store from calls of its own that failed, and an upstream that
    leaves must not get work.
    """

    def __init__(self) -> None:
        """Starts without configuration and upstreams."""
        self._catalog: Catalog | None = None
        self._known: dict[UpstreamId, KnownUpstream] = {}
        self._by_service: dict[ServiceId, dict[UpstreamId, KnownUpstream]] = {}
        self._evacuated: set[FailureDomainId] = set()
        self._grace_until_s = 0.0
        self._is_listed = False
        self._last_added_at_s = 0.0
        self._versions = SoftwareVersions()
        self._restored = RestoredStore()

    @property
    def last_added_at_s(self) -> float:
        """Returns the time at which an upstream was last added."""
        return self._last_added_at_s

    @property
    def catalog(self) -> Catalog | None:
        """Returns the newest accepted configuration."""
        return self._catalog

    @property
    def is_complete(self) -> bool:
        """Returns whether configuration and upstreams have been read."""
        return self._catalog is not None and self._is_listed

    @property
    def evacuated(self) -> frozenset[FailureDomainId]:
        """Returns the failure domains that get no new work."""
        return frozenset(self._evacuated)

    @property
    def listed_evacuated(self) -> frozenset[FailureDomainId]:
        """Returns those of them that the store has, as far as is known."""
        return frozenset(self._evacuated - self._restored.unconfirmed)

    @property
    def known_upstreams(self) -> tuple[KnownUpstream, ...]:
        """Returns all known upstreams."""
        return tuple(self._known.values())

    @property
    def upstream_ids(self) -> tuple[UpstreamId, ...]:
        """Returns the ids of all known upstreams."""
        return tuple(self._known)

    def accept_catalog(self, catalog: Catalog) -> bool:
        """Accepts a configuration if it is newer; returns whether it was."""
        known = self._catalog
        if known is not None and catalog.version <= known.version:
            return False
        self._catalog = catalog
        return True

    def find_upstream(self, upstream_id: UpstreamId) -> KnownUpstream | None:
        """Returns an upstream by id, if known."""
        return self._known.get(upstream_id)

    def is_new_incarnation(self, upstream: Upstream) -> bool:
        """Returns whether an entry is a new incarnation of a known upstream."""
        known = self._known.get(upstream.upstream_id)
        return known is not None and (
            known.upstream.started_ms != upstream.started_ms
            or known.upstream.address != upstream.address
        )

    def put_upstream(self, upstream: Upstream, now_s: float) -> None:
        """Adds or replaces an upstream whose entry was written."""
        self._restored.record_event(upstream)
        self._put(upstream, now_s)

    def _put(self, upstream: Upstream, now_s: float) -> None:
        known = self._known.get(upstream.upstream_id)
        if known is None:
            self._last_added_at_s = now_s
        else:
            self._drop(known.upstream.upstream_id, now_s)
        entry = KnownUpstream(
            upstream=upstream, cold_until_s=now_s + upstream.cold_s
        )
        self._known[upstream.upstream_id] = entry
        self._note_version(upstream, now_s)
        service = self._by_service.setdefault(upstream.service_id, {})
        service[upstream.upstream_id] = entry

    def remove_upstream(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Removes an upstream, at once or after a running grace period."""
        known = self._known.get(upstream_id)
        if known is None:
            return
        if now_s >= self._grace_until_s:
            self._depart(upstream_id, now_s)
        elif known.removed_at_s is None:
            known.removed_at_s = now_s

    def replace_upstreams(
        self, upstreams: Iterable[Upstream], now_s: float
    ) -> None:
        """Replaces all upstreams; removes those that are not listed."""
        missing = set(self._known)
        for upstream in upstreams:
            missing.discard(upstream.upstream_id)
            self._put(self._as_known_before(upstream), now_s)
        for upstream_id in missing:
            self.remove_upstream(upstream_id, now_s)
        self._is_listed = True

    def record_store_loss(self) -> None:
        """Notes that entries may change unseen from now on."""
        self._versions.pause()

    def record_store_read(self) -> None:
        """Notes that the entries are those of the store again."""
        self._versions.go_on()

    def record_store_recovery(self, now_s: float) -> None:
        """Starts the grace period after an outage of the store."""
        self.extend_grace(EXPIRY_GRACE_S, now_s)
        self._versions.restart(now_s)

    def record_store_restore(self, now_s: float) -> None:
        """Records that the next listing is from an older copy.

        Upstreams that left get no work because of it, failure domains stay
        evacuated for the grace period, and so does what the copy lacks.
        """
        self.record_store_recovery(now_s)
        draining = (
            known.upstream
            for known in self._known.values()
            if known.upstream.state is UpstreamState.DRAINING
        )
        self._restored.record_restore(draining, self._evacuated)

    def extend_grace(self, grace_s: float, now_s: float) -> None:
        """Lets missing entries be renewed for at least ``grace_s`` from now."""
        self._grace_until_s = max(self._grace_until_s, now_s + grace_s)

    def remaining_grace_s(self, now_s: float) -> float:
        """Returns the rest of the grace period; 0 if there is none."""
        return max(0.0, self._grace_until_s - now_s)

    def drop_expired(self, now_s: float) -> tuple[UpstreamId, ...]:
        """Drops upstreams that didn't renew their entries in time."""
        if now_s < self._grace_until_s:
            return ()
        expired = tuple(
            upstream_id
            for upstream_id, known in self._known.items()
            if known.removed_at_s is not None
        )
        for upstream_id in expired:
            self._depart(upstream_id, now_s)
        return expired

    def restore_unconfirmed(self, now_s: float) -> tuple[FailureDomainId, ...]:
        """Restores domains whose evacuation wasn't written again in time."""
        if now_s < self._grace_until_s:
            return ()
        unconfirmed = tuple(self._restored.unconfirmed)
        for domain_id in unconfirmed:
            self.restore_domain(domain_id)
        return unconfirmed

    def evacuate_domain(self, domain_id: FailureDomainId) -> None:
        """Marks a failure domain as evacuated: it gets no new work."""
        self._evacuated.add(domain_id)
        self._restored.unconfirmed.discard(domain_id)

    def restore_domain(self, domain_id: FailureDomainId) -> None:
        """Lets a failure domain get new work again."""
        self._evacuated.discard(domain_id)
        self._restored.unconfirmed.discard(domain_id)

    def usable_upstreams(
        self, service_id: ServiceId
    ) -> Iterator[KnownUpstream]:
        """Yields the upstreams of a service that may get new work."""
        uses_expired = self._has_lost_half(service_id)
        for known in self._by_service.get(service_id, {}).values():
            is_listed = known.removed_at_s is None
            if self._takes_work(known.upstream) and (is_listed or uses_expired):
                yield known

    def may_still_get_work(self, upstream: Upstream) -> bool:
        """Returns whether an upstream that was chosen earlier may get work.

        It may have begun to leave meanwhile, or have started anew.
        """
        known = self._known.get(upstream.upstream_id)
        return (
            known is not None
            and not self.is_new_incarnation(upstream)
            and self._takes_work(known.upstream)
            and (
                known.removed_at_s is None
                or self._has_lost_half(upstream.service_id)
            )
        )

    def sole_version(
        self, service_id: ServiceId, now_s: float
    ) -> SoftwareVersion | None:
        """Returns the only version that streams can have begun at, if known."""
        listed = {
            known.upstream.software_version
            for known in self._by_service.get(service_id, {}).values()
        }
        return self._versions.sole_version(service_id, listed, now_s)

    def known_of(self, service_id: ServiceId) -> tuple[KnownUpstream, ...]:
        """Returns all known upstreams of a service."""
        return tuple(self._by_service.get(service_id, {}).values())

    def health_path(self, service_id: ServiceId) -> str:
        """Returns the path of a service's health check; empty if not known."""
        services = {} if self._catalog is None else self._catalog.services
        traits = services.get(service_id)
        return '' if traits is None else traits.health_path

    def others_in_domain(self, upstream: Upstream) -> tuple[Upstream, ...]:
        """Returns the other upstreams of its service and failure domain."""
        service = self._by_service.get(upstream.service_id, {})
        return tuple(
            other.upstream
            for other in service.values()
            if other.upstream.domain_id == upstream.domain_id
            and other.upstream.upstream_id != upstream.upstream_id
        )

    def _has_lost_half(self, service_id: ServiceId) -> bool:
        """Returns whether half of a service or more has been removed.

        An outage of the store lets many expire; engines that leave are few.
        """
        known = self._by_service.get(service_id, {}).values()
        removed = sum(one.removed_at_s is not None for one in known)
        return 2 * removed >= max(1, len(known))

    def _takes_work(self, upstream: Upstream) -> bool:
        return (
            upstream.state is UpstreamState.READY
            and upstream.domain_id not in self._evacuated
        )

    def _as_known_before(self, listed: Upstream) -> Upstream:
        """Returns a listed upstream; as leaving if a copy brought it back."""
        if not self._restored.holds_back(listed):
            return listed
        return structs.replace(listed, state=UpstreamState.DRAINING)

    def _depart(self, upstream_id: UpstreamId, now_s: float) -> None:
        known = self._known[upstream_id]
        self._restored.record_departure(known.upstream, now_s)
        self._drop(upstream_id, now_s)

    def _note_version(self, upstream: Upstream, now_s: float) -> None:
        self._versions.note(
            upstream.service_id, upstream.software_version, now_s
        )

    def _drop(self, upstream_id: UpstreamId, now_s: float) -> None:
        known = self._known.pop(upstream_id)
        self._note_version(known.upstream, now_s)
        service = self._by_service[known.upstream.service_id]
        del service[upstream_id]


__all__ = ('EXPIRY_GRACE_S', 'FleetView', 'KnownUpstream')
