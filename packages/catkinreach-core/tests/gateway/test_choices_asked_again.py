"""Upstreams that were chosen, and are asked about again before a send."""

from __future__ import annotations

from msgspec import structs

from catkinreach_core.gateway.upstream import UpstreamState
from catkinreach_core.gateway.view import FleetView
from catkinreach_core.ids import FailureDomainId
from catkinreach_standins.fakes.gateway import make_upstream

CHOSEN = make_upstream('a')


def _view() -> FleetView:
    view = FleetView()
    view.put_upstream(CHOSEN, 0.0)
    return view


def test_listed_upstream_may_still_get_work() -> None:
    assert _view().may_still_get_work(CHOSEN)


def test_draining_upstream_may_not() -> None:
    view = _view()
    draining = structs.replace(CHOSEN, state=UpstreamState.DRAINING)
    view.put_upstream(draining, 1.0)
    assert not view.may_still_get_work(CHOSEN)


def test_removed_upstream_may_not() -> None:
    view = _view()
    view.remove_upstream(CHOSEN.upstream_id, 1.0)
    assert not view.may_still_get_work(CHOSEN)


def test_upstream_of_an_evacuated_domain_may_not() -> None:
    view = _view()
    view.evacuate_domain(FailureDomainId('here'))
    assert not view.may_still_get_work(CHOSEN)
    view.restore_domain(FailureDomainId('here'))
    assert view.may_still_get_work(CHOSEN)


def test_upstream_that_started_anew_may_not() -> None:
    view = _view()
    view.put_upstream(structs.replace(CHOSEN, started_ms=7), 1.0)
    assert not view.may_still_get_work(CHOSEN)
