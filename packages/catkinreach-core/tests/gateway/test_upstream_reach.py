"""When a VM takes itself for cut off, and whom it asks then."""

from __future__ import annotations

import random

from catkinreach_core.gateway.relay_choice import (
    AVOID_S,
    MAX_RELAYS,
    RelayChoice,
)
from catkinreach_core.gateway.upstream_reach import (
    MIN_CHECK_INTERVAL_S,
    UpstreamReach,
)
from catkinreach_core.ids import UpstreamId

FIRST, SECOND = UpstreamId('a'), UpstreamId('b')
KNOWN = 12


def test_one_upstream_that_fails_needs_no_check() -> None:
    reach = UpstreamReach()
    reach.record_failed(FIRST)
    reach.record_failed(FIRST)
    assert not reach.needs_check(KNOWN, 0.0)
    assert reach.needs_check(1, 0.0)


def test_upstreams_that_fail_in_turn_need_a_check() -> None:
    reach = UpstreamReach()
    reach.record_failed(FIRST)
    reach.record_reached()
    reach.record_failed(SECOND)
    assert not reach.needs_check(KNOWN, 0.0)
    reach.record_failed(FIRST)
    assert reach.needs_check(KNOWN, 0.0)


def test_vm_is_cut_off_until_a_connect_succeeds() -> None:
    reach = UpstreamReach()
    reach.record_failed(FIRST)
    reach.record_failed(SECOND)
    reach.begin_check(0.0)
    assert reach.end_check()
    assert reach.is_cut_off
    reach.record_reached()
    assert not reach.is_cut_off


# A failure after it hid that the check had reached an upstream.
def test_success_during_a_check_counts() -> None:
    reach = UpstreamReach()
    reach.record_failed(FIRST)
    reach.record_failed(SECOND)
    reach.begin_check(0.0)
    reach.record_reached()
    reach.record_failed(FIRST)
    assert not reach.end_check()
    reach.record_failed(SECOND)
    assert not reach.needs_check(KNOWN, MIN_CHECK_INTERVAL_S / 2)
    assert reach.needs_check(KNOWN, MIN_CHECK_INTERVAL_S)


def test_nearby_peers_come_first() -> None:
    choice = RelayChoice(random.Random(1).random)
    peers = [f'10.0.0.{number}' for number in range(20)]
    nearby = set(peers[:2])
    order = choice.order(peers, nearby, 0.0)
    assert len(order) == MAX_RELAYS
    assert set(order[:2]) == nearby


# Most VMs are cut off: few carry the requests of many.
def test_requests_spread_over_the_peers_that_can_pass_them_on() -> None:
    choice = RelayChoice(random.Random(1).random)
    peers = [f'10.0.0.{number}' for number in range(3)]
    first = [choice.order(peers, (), 0.0)[0] for _ in range(300)]
    assert all(first.count(peer) > 60 for peer in peers)


def test_peer_that_failed_is_avoided_for_a_time() -> None:
    choice = RelayChoice(random.Random(1).random)
    choice.avoid('10.0.0.1', 0.0)
    peers = ['10.0.0.1', '10.0.0.2']
    assert choice.order(peers, (), AVOID_S / 2) == ['10.0.0.2']
    assert set(choice.order(peers, (), AVOID_S)) == set(peers)
