"""Snapshots of the store that VMs give each other."""

from __future__ import annotations

from contextlib import suppress

from hypothesis import given

from catkinreach_core.documents import DocumentError
from catkinreach_core.gateway.catalog import Catalog, routes_by_host
from catkinreach_core.gateway.feed import (
    CatalogPublished,
    DomainEvacuated,
    UpstreamPublished,
)
from catkinreach_core.gateway.snapshot import (
    StoreSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from catkinreach_core.gateway.view import FleetView
from catkinreach_core.ids import FailureDomainId, Revision, UpstreamId
from catkinreach_standins.fakes.fuzz_inputs import (
    damaged_bytes,
    fuzz_settings,
)
from catkinreach_standins.fakes.gateway import make_upstream

DOMAIN = FailureDomainId('north')
CATALOG = Catalog(
    version=7,
    routes=dict(routes_by_host([])),
    services={},
    workspaces={},
    has_workspaces=False,
)


def _snapshot(*, after_version: int = 0, now_s: float = 10.0) -> StoreSnapshot:
    """Returns what a view holds that lost an upstream in an outage."""
    view = FleetView()
    view.accept_catalog(CATALOG)
    view.replace_upstreams([make_upstream('a', cold_s=15.0)], 0.0)
    view.put_upstream(make_upstream('gone'), 0.0)
    view.evacuate_domain(DOMAIN)
    view.record_store_recovery(9.0)
    view.remove_upstream(UpstreamId('gone'), 9.0)
    return StoreSnapshot.from_view(
        view,
        revision=Revision(30),
        changed_revision=Revision(28),
        after_version=after_version,
        now_s=now_s,
    )


VALID = encode_snapshot(_snapshot())


def test_snapshot_lists_what_the_store_has() -> None:
    snapshot = decode_snapshot(VALID)
    assert snapshot == _snapshot()
    assert snapshot.expiry_grace_s == 1.0
    listing = snapshot.to_listing()
    assert listing.revision == 30
    assert listing.changes == [
        UpstreamPublished(make_upstream('a', cold_s=5.0)),
        DomainEvacuated(DOMAIN),
        CatalogPublished(CATALOG),
    ]


def test_snapshot_repeats_no_configuration_that_the_peer_has() -> None:
    assert _snapshot(after_version=7).catalog is None
    assert _snapshot(after_version=6).catalog == CATALOG


@fuzz_settings()
@given(data=damaged_bytes(VALID))
def test_damaged_snapshot_ends_a_task(data: bytes) -> None:
    with suppress(DocumentError):
        assert isinstance(decode_snapshot(data), StoreSnapshot)
