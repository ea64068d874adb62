"""What a VM holds of the store, for a peer that can't read the store.

Load pattern: the store turns some VMs away for seconds and serves the others
and the operator.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct, structs

from ..documents import decode_document
from ..ids import FailureDomainId
from .catalog import Catalog
from .datagram_ranges import GraceSeconds, RevisionNumber
from .feed import (
    CatalogPublished,
    Change,
    DomainEvacuated,
    Listing,
    UpstreamPublished,
)
from .upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import Revision
    from .view import FleetView, KnownUpstream


class StoreSnapshot(Struct, array_like=True, frozen=True, kw_only=True):
    """All entries of the store as one VM holds them.

    Attributes:
        revision: Revision up to which the VM has the store's changes.
        changed_revision: Revision of the last one of these changes.
        expiry_grace_s: Remaining time for upstreams to renew entries that
            expired during an outage of the store.
        catalog: Configuration; ``None`` if the peer has it.
        upstreams: Listed upstreams, each with the rest of its cold time.
        evacuated: Failure domains that get no new work.
    """

    revision: RevisionNumber
    changed_revision: RevisionNumber
    expiry_grace_s: GraceSeconds
    catalog: Catalog | None
    upstreams: list[Upstream]
    evacuated: list[FailureDomainId]

    @classmethod
    def from_view(
        cls,
        view: FleetView,
        *,
        revision: Revision,
        changed_revision: Revision,
        after_version: int,
        now_s: float,
    ) -> StoreSnapshot:
        """Returns what a view holds.

        Args:
            view: The view.
            revision: Revision up to which it has the changes.
            changed_revision: Revision of the last one of them.
            after_version: Version of the configuration that the peer has.
            now_s: Monotonic clock.
        """
        catalog = view.catalog
        if catalog is not None and catalog.version <= after_version:
            catalog = None
        return cls(
            revision=revision,
            changed_revision=changed_revision,
            expiry_grace_s=view.remaining_grace_s(now_s),
            catalog=catalog,
            upstreams=_listed(view.known_upstreams, now_s),
            evacuated=sorted(view.listed_evacuated),
        )

    def to_listing(self) -> Listing:
        """Returns the entries as a listing of the store."""
        changes: list[Change] = [
            UpstreamPublished(upstream) for upstream in self.upstreams
        ]
        changes += map(DomainEvacuated, self.evacuated)
        if self.catalog is not None:
            changes.append(CatalogPublished(self.catalog))
        return Listing(changes=changes, revision=self.revision)


def _listed(upstreams: Iterable[KnownUpstream], now_s: float) -> list[Upstream]:
    """Returns the upstreams whose entries the store has."""
    return [
        structs.replace(
            known.upstream, cold_s=max(0.0, known.cold_until_s - now_s)
        )
        for known in upstreams
        if known.removed_at_s is None
    ]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StoreSnapshot)


def encode_snapshot(snapshot: StoreSnapshot) -> bytes:
    """Encodes a snapshot as msgpack."""
    return _ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> StoreSnapshot:
    """Decodes a snapshot.

    Raises:
        DocumentError: if it is malformed.
    """
    return decode_document(_DECODER, data)


__all__ = ('StoreSnapshot', 'decode_snapshot', 'encode_snapshot')
