"""A node's view of the configuration, upstreams and failure domains."""

from __future__ import annotations

import msgspec

from catkinreach_core.gateway.catalog import Catalog
from catkinreach_core.gateway.upstream import UpstreamState
from catkinreach_core.gateway.view import EXPIRY_GRACE_S, FleetView
from catkinreach_core.ids import FailureDomainId, ServiceId, UpstreamId
from catkinreach_standins.fakes.gateway import SERVICE, make_upstream


def _catalog(version: int) -> Catalog:
    return Catalog(
        version=version,
        routes={},
        services={},
        workspaces={},
        has_workspaces=False,
    )


def _usable(view: FleetView) -> set[str]:
    return {
        known.upstream.upstream_id for known in view.usable_upstreams(SERVICE)
    }


def test_older_configuration_is_never_accepted() -> None:
    view = FleetView()
    assert view.accept_catalog(_catalog(7))
    assert not view.accept_catalog(_catalog(6))
    assert not view.accept_catalog(_catalog(7))
    assert view.catalog is not None
    assert view.catalog.version == 7


def test_draining_upstream_gets_no_work() -> None:
    view = FleetView()
    view.put_upstream(make_upstream('a'), 0.0)
    view.put_upstream(make_upstream('b', state=UpstreamState.DRAINING), 0.0)
    assert _usable(view) == {'a'}


def test_failure_domain_is_evacuated_and_restored() -> None:
    view = FleetView()
    view.put_upstream(make_upstream('a', domain='north'), 0.0)
    view.evacuate_domain(FailureDomainId('north'))
    assert not _usable(view)
    view.restore_domain(FailureDomainId('north'))
    assert _usable(view) == {'a'}


def test_entry_that_expired_during_an_outage_may_be_renewed() -> None:
    view = FleetView()
    view.replace_upstreams([make_upstream('a'), make_upstream('b')], 0.0)
    view.record_store_recovery(10.0)
    view.replace_upstreams([make_upstream('b')], 10.0)
    assert _usable(view) == {'a', 'b'}
    view.put_upstream(make_upstream('a'), 11.0)
    assert not view.drop_expired(10.0 + EXPIRY_GRACE_S)
    assert _usable(view) == {'a', 'b'}


def test_entry_still_missing_after_the_grace_period_is_dropped() -> None:
    view = FleetView()
    view.replace_upstreams([make_upstream('a')], 0.0)
    view.record_store_recovery(10.0)
    view.replace_upstreams([], 10.0)
    assert not view.drop_expired(10.0 + EXPIRY_GRACE_S / 2)
    assert view.drop_expired(10.0 + EXPIRY_GRACE_S) == ('a',)
    assert not _usable(view)


def test_entry_removed_without_an_outage_is_dropped_at_once() -> None:
    view = FleetView()
    view.replace_upstreams([make_upstream('a')], 0.0)
    view.remove_upstream(UpstreamId('a'), 5.0)
    assert not _usable(view)


def test_cold_upstream_warms_up() -> None:
    view = FleetView()
    view.put_upstream(make_upstream('a', cold_s=3.0), 1.0)
    (known,) = view.usable_upstreams(SERVICE)
    assert known.is_cold(3.9)
    assert not known.is_cold(4.0)


def test_others_of_a_failure_domain_are_of_the_same_service() -> None:
    view = FleetView()
    lost = make_upstream('a', domain='north')
    other_service = msgspec.structs.replace(
        make_upstream('d', domain='north'), service_id=ServiceId('other')
    )
    view.replace_upstreams(
        [
            lost,
            make_upstream('b', domain='north'),
            make_upstream('c', domain='south'),
            other_service,
        ],
        0.0,
    )
    others = view.others_in_domain(lost)
    assert [other.upstream_id for other in others] == ['b']


def test_engine_that_leaves_after_a_slow_read_still_gets_work() -> None:
    # A read that failed or was slow counted as an outage of the store, in
    # whose grace period removed entries stayed in use.
    view = FleetView()
    upstreams = [make_upstream(name) for name in 'abcd']
    view.replace_upstreams(upstreams, 0.0)
    view.record_store_recovery(10.0)
    view.remove_upstream(UpstreamId('a'), 10.0)
    assert _usable(view) == {'b', 'c', 'd'}
    assert not view.may_still_get_work(upstreams[0])
    view.remove_upstream(UpstreamId('b'), 10.1)
    assert _usable(view) == {'a', 'b', 'c', 'd'}
    assert view.may_still_get_work(upstreams[0])
