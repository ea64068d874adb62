"""Limits that upstreams name, over the nodes of a fleet."""

from __future__ import annotations

import random

import pytest

from catkinreach_core.gateway.upstream_limits import (
    LIFTED_TOLD_S,
    MIN_PER_S,
    TURN_S,
    UNCONFIRMED_S,
    UpstreamLimits,
)
from catkinreach_standins.fakes.gateway import make_upstream

UPSTREAM = make_upstream('a')
STEP_S = 0.1
DURATION_S = 12.0
WINDOW_S = 4.0

MIN_SHARE = 0.4
"""Part of a limit that a busy fleet uses at least."""


class Fleet:
    """Nodes that tell each other of a limit after a delay."""

    def __init__(self, count: int, told_after_s: float) -> None:
        """Makes nodes that have heard each other."""
        self._rng = random.Random(count)
        self._hosts = tuple(f'10.0.0.{number}' for number in range(count))
        self._told_after_s = told_after_s
        self._told: list[tuple[float, str]] = []
        self.nodes = {
            host: UpstreamLimits(host, self._rng.random) for host in self._hosts
        }
        self.sent_s: list[float] = []
        self._peers = {
            host: tuple(other for other in self._hosts if other != host)
            for host in self._hosts
        }

    def name_limit(self, per_s: float) -> None:
        """Lets the upstream tell all nodes."""
        for node in self.nodes.values():
            node.record_answer(UPSTREAM, per_s, 0.0)

    def step(self, per_s: float, now_s: float) -> None:
        """Lets each node send a request if it may, in a random order."""
        for host in self._rng.sample(self._hosts, len(self._hosts)):
            if self.may_send(host, now_s):
                self.nodes[host].spend(UPSTREAM.upstream_id)
                self.sent_s.append(now_s)
                self.nodes[host].record_answer(UPSTREAM, per_s, now_s)
                self._told.append((now_s + self._told_after_s, host))
        while self._told and self._told[0][0] <= now_s:
            self._tell(self._told.pop(0)[1], now_s)

    def may_send(self, host: str, now_s: float) -> bool:
        """Returns whether a node may send a request."""
        return self.nodes[host].allows_request(
            UPSTREAM, lambda: self._peers[host], now_s
        )

    def _tell(self, source: str, now_s: float) -> None:
        reports = self.nodes[source].make_reports([UPSTREAM], now_s)
        report = reports[UPSTREAM.upstream_id]
        for node in self.nodes.values():
            node.record_report(UPSTREAM, report, now_s)

    def most_in_a_window(self) -> int:
        """Returns the most requests that the upstream got in one window."""
        return max(
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in self.sent_s)
            for start_s in self.sent_s
        )


@pytest.mark.parametrize('idle_s', [0.0, 40.0])
@pytest.mark.parametrize('per_s', [0.0, 0.3, 1.0, 2.2, 20.0])
@pytest.mark.parametrize(
    ('count', 'told_after_s'),
    [(1, 0.0), (3, 0.01), (9, 0.01), (70, 0.05), (300, 6.0)],
)
def test_fleet_sends_more_than_an_upstream_named(
    count: int, told_after_s: float, per_s: float, idle_s: float
) -> None:
    fleet = Fleet(count, told_after_s)
    fleet.name_limit(per_s)
    for number in range(int(DURATION_S / STEP_S)):
        fleet.step(per_s, idle_s + number * STEP_S)
    assert fleet.most_in_a_window() <= 1.5 * per_s * WINDOW_S + 5
    wanted = DURATION_S * max(per_s, MIN_PER_S)
    assert len(fleet.sent_s) >= min(MIN_SHARE * wanted, count)


def test_lifted_limit_lasts_at_peers() -> None:
    fleet = Fleet(9, 0.0)
    fleet.name_limit(1.0)
    teller, *others = fleet.nodes
    assert fleet.nodes[teller].record_answer(UPSTREAM, None, 1.0)
    reports = fleet.nodes[teller].make_reports([UPSTREAM], 1.2)
    for host in others:
        report = reports[UPSTREAM.upstream_id]
        assert fleet.nodes[host].record_report(UPSTREAM, report, 1.2)
        assert not fleet.nodes[host].record_report(UPSTREAM, report, 1.2)
    assert all(fleet.may_send(host, 1.3) for host in fleet.nodes)
    late_s = 1.1 + LIFTED_TOLD_S
    assert fleet.nodes[teller].make_reports([UPSTREAM], late_s) == {}


def test_old_word_gets_younger_by_travelling() -> None:
    latency_s, heard_s, hops = 0.01, 10.0, 200
    first, second = (UpstreamLimits(host, lambda: 0.0) for host in 'ab')
    first.record_answer(UPSTREAM, 1.0, heard_s)
    for number in range(hops):
        now_s = heard_s + number * latency_s
        teller, hearer = (second, first) if number % 2 else (first, second)
        reports = teller.make_reports([UPSTREAM], now_s)
        for report in reports.values():
            hearer.record_report(UPSTREAM, report, now_s + latency_s)
    reports = first.make_reports([UPSTREAM], heard_s + hops * latency_s)
    age_ms = reports[UPSTREAM.upstream_id].age_ms
    assert age_ms >= hops * latency_s * 1000
    assert second.limited_count == 1


def test_upstream_is_left_out_for_good_as_its_senders_are_idle() -> None:
    fleet = Fleet(9, 0.0)
    fleet.name_limit(1.0)
    soon_s, late_s = UNCONFIRMED_S / 2, 10 * UNCONFIRMED_S
    first = {host for host in fleet.nodes if fleet.may_send(host, soon_s)}
    assert len(first) <= 5
    asked = set(first)
    for number in range(4 * len(fleet.nodes)):
        now_s = late_s + number * TURN_S
        allowed = {host for host in fleet.nodes if fleet.may_send(host, now_s)}
        assert len(allowed) <= 6
        asked |= allowed
    assert asked == set(fleet.nodes)


def test_limit_of_an_earlier_incarnation_binds_the_next() -> None:
    limits = UpstreamLimits('10.0.0.1', lambda: 0.0)
    limits.record_answer(UPSTREAM, 1.0, 0.0)
    assert not limits.allows_request(UPSTREAM, lambda: (), 0.1)
    limits.forget(UPSTREAM.upstream_id)
    assert limits.allows_request(UPSTREAM, lambda: (), 0.1)
    assert not limits.limited_count


def test_check_of_a_response_passes_the_limit() -> None:
    node = UpstreamLimits('10.0.0.1', lambda: 1.0)
    assert not node.check_wait_s(UPSTREAM, tuple, 0.0)
    node.record_answer(UPSTREAM, 2.0, 0.0)
    assert not node.check_wait_s(UPSTREAM, tuple, 0.0)
    node.spend(UPSTREAM.upstream_id)
    wait_s = node.check_wait_s(UPSTREAM, tuple, 0.0)
    assert wait_s >= 1 / 2.0
    assert not node.allows_request(UPSTREAM, tuple, 0.9 * wait_s)
    assert node.check_wait_s(UPSTREAM, tuple, wait_s) < 1e-9
