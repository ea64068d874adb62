"""Which VMs take new connections while many of them stop."""

from __future__ import annotations

import random
from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinreach_core.gateway.departure import REMEMBER_S, Departures
from catkinreach_core.ids import FailureDomainId

DOMAINS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'd1': 'd'}
"""The shape of a fleet of six VMs in four failure domains."""


def _fleet(ends: dict[str, int], domains: dict[str, str]) -> list[Departures]:
    """Returns the views of all VMs, each with the reports of the others."""
    views = []
    for host, domain in domains.items():
        view = Departures(host, FailureDomainId(domain))
        for peer, peer_domain in domains.items():
            if peer != host:
                view.record(
                    peer, FailureDomainId(peer_domain), ends.get(peer, 0), 0.0
                )
        views.append(view)
    return views


def _listening(
    ends: dict[str, int],
    gone: set[str],
    domains: dict[str, str],
) -> set[str]:
    """Returns the VMs that run, or stop and listen on."""
    responsive = set(domains) - gone
    views = zip(domains, _fleet(ends, domains), strict=True)
    return {
        host
        for host, view in views
        if host in responsive
        and (
            host not in ends or view.is_needed(ends[host], responsive - {host})
        )
    }


def test_all_vms_that_stop_at_once_stop_listening() -> None:
    ends = dict.fromkeys(DOMAINS, 1000)
    assert len(_listening(ends, set(), DOMAINS)) >= len(DOMAINS) / 2


# The first one must be back before the last one leaves.
@pytest.mark.parametrize('order', list(permutations(DOMAINS))[::60])
def test_stops_in_any_order_leave_nobody_who_listens(
    order: tuple[str, ...],
) -> None:
    ends = {host: 1000 + place for place, host in enumerate(order)}
    for count in range(len(order)):
        assert _listening(ends, set(order[:count]), DOMAINS)


def test_stop_of_one_vm_waits_for_others() -> None:
    assert 'a1' not in _listening({'a1': 1000}, set(), DOMAINS)
    # A domain without another VM has its callers sent elsewhere.
    assert 'c1' not in _listening({'c1': 1000}, set(), DOMAINS)


def test_two_of_three_vms_of_a_domain_stop_listening() -> None:
    domains = {'a1': 'a', 'a2': 'a', 'a3': 'a', 'b1': 'b', 'b2': 'b', 'b3': 'b'}
    ends = {'a1': 1000, 'a2': 1001}
    assert _listening(ends, set(), domains) == {'a2', 'a3', 'b1', 'b2', 'b3'}
    # Its first VM has left and isn't back yet.
    assert 'a2' in _listening(ends, {'a1'}, domains)


def test_vm_without_peers_waits_for_others() -> None:
    alone = Departures('a1', FailureDomainId('a'))
    assert not alone.is_needed(1000, ())


def test_vm_that_left_long_ago_is_waited_for() -> None:
    view = Departures('a1', FailureDomainId('a'))
    view.record('a2', FailureDomainId('a'), 900, 0.0)
    assert view.is_needed(1000, ())
    view.expire(REMEMBER_S + 1)
    assert not view.is_needed(1000, ())


def test_change_of_load_keeps_the_domain_of_a_peer() -> None:
    view = Departures('a1', FailureDomainId('a'))
    view.record('a2', FailureDomainId(''), 0, 0.0)
    assert not view.is_needed(1000, ())
    view.record('a2', FailureDomainId('a'), 0, 0.0)
    assert view.serves_elsewhere(['a2'], 0.0)
    view.record('a2', FailureDomainId(''), 900, 0.0)
    assert not view.serves_elsewhere(['a2'], 0.0)
    assert view.is_needed(1000, ['a2'])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.integers(1, 40), min_size=2, max_size=30),
    st.integers(1, 8),
    st.integers(0, 1000),
)
def test_half_of_a_fleet_that_stops_listens_on(
    ends: list[int], domain_count: int, seed: int
) -> None:
    rng = random.Random(seed)
    domains = {
        f'vm{number}': f'd{rng.randrange(domain_count)}'
        for number in range(len(ends))
    }
    stopping = dict(zip(domains, ends, strict=True))
    assert 2 * len(_listening(stopping, set(), domains)) >= len(ends)
