"""An older copy of the store doesn't undo what a VM knew.

Load pattern: the store comes back some seconds old while engines leave and
failure domains are evacuated.
"""

from __future__ import annotations

import pytest
from msgspec import structs

from catkinreach_core.gateway.gossip import StoreBeacon
from catkinreach_core.gateway.snapshot import StoreSnapshot
from catkinreach_core.gateway.store_position import (
    MAX_ERA,
    MAX_STORE_REVISION,
    era_of,
    is_restored,
    make_position,
    revision_of,
)
from catkinreach_core.gateway.store_relay import StoreRelay
from catkinreach_core.gateway.upstream import Upstream, UpstreamState
from catkinreach_core.gateway.view import EXPIRY_GRACE_S, FleetView
from catkinreach_core.ids import FailureDomainId, Revision, UpstreamId
from catkinreach_core.ranges import MAX_REVISION
from catkinreach_standins.fakes.gateway import SERVICE, make_upstream

DOMAIN = FailureDomainId('north')
APPLY_WITHIN_S = 4.0
HOSTS = [f'10.0.0.{number}' for number in range(60)]


def _usable(view: FleetView) -> set[str]:
    return {
        known.upstream.upstream_id for known in view.usable_upstreams(SERVICE)
    }


def _view(*names: str) -> FleetView:
    view = FleetView()
    view.replace_upstreams(map(make_upstream, names), 0.0)
    return view


def _restore(view: FleetView, *names: str, now_s: float = 10.0) -> None:
    view.record_store_restore(now_s)
    view.replace_upstreams(map(make_upstream, names), now_s)


def _leave(view: FleetView, how: str) -> None:
    if how == 'draining':
        draining = make_upstream('a', state=UpstreamState.DRAINING)
        view.put_upstream(draining, 5.0)
    else:
        view.remove_upstream(UpstreamId('a'), 5.0)


@pytest.mark.parametrize('how', ['draining', 'removed'])
def test_older_copy_brings_no_leaving_upstream_back(how: str) -> None:
    view = _view('a', 'b')
    _leave(view, how)
    _restore(view, 'a', 'b')
    assert _usable(view) == {'b'}
    view.replace_upstreams(map(make_upstream, 'ab'), 20.0)
    assert _usable(view) == {'b'}


@pytest.mark.parametrize('how', ['draining', 'removed'])
def test_entry_written_after_the_restore_counts(how: str) -> None:
    view = _view('a', 'b')
    _leave(view, how)
    _restore(view, 'a', 'b')
    view.put_upstream(make_upstream('a'), 10.5)
    assert _usable(view) == {'a', 'b'}
    _restore(view, 'a', 'b', now_s=20.0)
    assert _usable(view) == {'a', 'b'}


@pytest.mark.parametrize('how', ['draining', 'removed'])
def test_other_incarnation_of_a_leaving_upstream_gets_work(how: str) -> None:
    view = _view('a', 'b')
    _leave(view, how)
    view.record_store_restore(10.0)
    reborn: Upstream = structs.replace(make_upstream('a'), started_ms=77)
    view.replace_upstreams([reborn, make_upstream('b')], 10.0)
    assert _usable(view) == {'a', 'b'}


def test_upstreams_that_the_copy_lacks_serve_for_the_grace() -> None:
    view = _view('a', 'b')
    _restore(view, 'a')
    assert _usable(view) == {'a', 'b'}
    assert view.drop_expired(10.0 + EXPIRY_GRACE_S) == ('b',)
    assert _usable(view) == {'a'}


def test_domain_that_the_copy_lacks_stays_out_for_the_grace() -> None:
    view = _view('a')
    view.evacuate_domain(DOMAIN)
    view.record_store_restore(10.0)
    assert view.evacuated == {DOMAIN}
    assert not view.listed_evacuated
    assert not view.restore_unconfirmed(10.0 + EXPIRY_GRACE_S / 2)
    assert view.evacuated == {DOMAIN}
    assert view.restore_unconfirmed(10.0 + EXPIRY_GRACE_S) == (DOMAIN,)
    assert not view.evacuated


def test_evacuation_that_is_written_again_stays() -> None:
    view = _view('a')
    view.evacuate_domain(DOMAIN)
    view.record_store_restore(10.0)
    view.evacuate_domain(DOMAIN)
    assert not view.restore_unconfirmed(10.0 + EXPIRY_GRACE_S)
    assert view.evacuated == view.listed_evacuated == {DOMAIN}


def test_snapshot_holds_no_evacuation_that_the_store_lacks() -> None:
    view = _view('a')
    view.evacuate_domain(DOMAIN)
    view.record_store_restore(10.0)
    snapshot = StoreSnapshot.from_view(
        view,
        revision=make_position(2, 5),
        changed_revision=make_position(2, 5),
        after_version=0,
        now_s=10.0,
    )
    assert not snapshot.evacuated


def test_positions_are_ordered_by_era_first() -> None:
    assert make_position(2, 1) > make_position(1, MAX_STORE_REVISION)
    assert make_position(1, 8) > make_position(1, 7)
    assert make_position(0, 7) == 7
    last = make_position(MAX_ERA, MAX_STORE_REVISION)
    assert last == MAX_REVISION
    assert (era_of(last), revision_of(last)) == (MAX_ERA, MAX_STORE_REVISION)


def test_only_a_later_era_than_one_read_is_a_restore() -> None:
    held = make_position(1, 7)
    assert is_restored(make_position(2, 3), held)
    assert not is_restored(make_position(1, 9), held)
    assert not is_restored(make_position(2, 3), Revision(0))


def test_read_before_the_restore_is_no_reason_to_rely_on() -> None:
    relays = [StoreRelay(host, apply_within_s=APPLY_WITHIN_S) for host in HOSTS]
    for relay in relays:
        relay.update_readers(host for host in HOSTS if not relay.accepts(host))
    reader = next(host for host in HOSTS if relays[0].accepts(host))
    follower = next(relay for relay in relays if not relay.is_reader)
    beacon = StoreBeacon(
        node=reader,
        revision=make_position(1, 900),
        changed_revision=make_position(1, 900),
        age_s=0.0,
    )
    held = make_position(2, 5)
    assert follower.record_beacon(beacon, held=held, now_s=50.0) == held
    assert not follower.relies_for_s(50.0)
    newer = structs.replace(
        beacon, revision=held + 1, changed_revision=held + 1
    )
    held = make_position(1, 900)
    assert follower.record_beacon(newer, held=held, now_s=50.0) == held
    assert follower.lacks_changes
