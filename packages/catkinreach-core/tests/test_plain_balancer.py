"""Tests of the load balancing of a plain service."""

from __future__ import annotations

from catkinreach_core.placement.plain import PlainBalancer
from catkinreach_standins.fakes.cells import make_engine

UPSTREAMS = [make_engine(name, places=20).upstream for name in ('a', 'b', 'c')]
FAILED = UPSTREAMS[0].upstream_id


def _start_requests(
    balancer: PlainBalancer, now_s: float, count: int
) -> list[str]:
    chosen: list[str] = []
    for _ in range(count):
        upstream = balancer.choose_upstream(UPSTREAMS, now_s)
        assert upstream is not None
        balancer.start_request(upstream.upstream_id)
        chosen.append(upstream.upstream_id)
    return chosen


def test_requests_are_spread_evenly() -> None:
    chosen = _start_requests(PlainBalancer(), 0.0, 30)
    assert {chosen.count(name) for name in 'abc'} == {10}


def test_failed_upstream_is_the_last_choice() -> None:
    balancer = PlainBalancer()
    balancer.record_connection_failure(FAILED, 0.0)
    assert 'a' not in _start_requests(balancer, 0.5, 20)


def test_recovered_upstream_goes_through_slow_start() -> None:
    balancer = PlainBalancer()
    balancer.record_connection_failure(FAILED, 0.0)
    assert _start_requests(balancer, 2.0, 20).count('a') == 1
    for _ in range(20):
        balancer.end_request(FAILED, is_complete=True)
        balancer.start_request(FAILED)
    assert _start_requests(balancer, 2.0, 20).count('a') > 5


def test_no_upstream_is_chosen_without_candidates() -> None:
    assert PlainBalancer().choose_upstream([], 0.0) is None
