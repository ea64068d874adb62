"""Limits over all nodes: retries and cold upstreams."""

from __future__ import annotations

import random

import pytest

from catkinreach_core.gateway.quota import WindowCount
from catkinreach_core.gateway.retry_budget import SLACK_USE, RetryBudget
from catkinreach_core.gateway.shared_rate import SharedRateLimiter
from catkinreach_core.ids import ServiceId, UpstreamId

SERVICE = ServiceId('plain')
UPSTREAM = UpstreamId('a')
NODES = 9


@pytest.mark.parametrize('requests_per_s', [1, 10, 100])
def test_retries_of_all_nodes_keep_ratio_and_slack(requests_per_s: int) -> None:
    ratio, slack, window_s = 0.2, 58.0, 10.0
    nodes = [
        RetryBudget(ratio=ratio, slack=slack, window_s=window_s)
        for _ in range(NODES)
    ]
    requests, retries = WindowCount(window_s), WindowCount(window_s)
    for step in range(30 * requests_per_s):
        now_s = step / requests_per_s
        node = nodes[step % NODES]
        node.record_request(SERVICE, now_s)
        requests.add(1, now_s)
        while node.spend(SERVICE, NODES, now_s):
            retries.add(1, now_s)
        allowed = ratio * requests.total(now_s) + slack
        assert retries.total(now_s) <= allowed


def test_retry_is_allowed_before_any_request() -> None:
    budget = RetryBudget(ratio=0.2, slack=58.0, window_s=10.0)
    assert budget.spend(SERVICE, NODES, 0.0)


@pytest.mark.parametrize('count', [1, NODES, 70])
def test_all_nodes_together_keep_the_rate_of_a_cold_upstream(
    count: int,
) -> None:
    per_s = 8.0
    rng = random.Random(count)
    nodes = [SharedRateLimiter(rng.random) for _ in range(count)]
    sent = WindowCount(1.0)
    for step in range(5000):
        now_s = step / 1000
        for node in nodes:
            if node.allows_request(UPSTREAM, per_s, count, now_s):
                node.spend(UPSTREAM)
                sent.add(1, now_s)
        assert sent.total(now_s) <= per_s * 1.5 + 5


def test_held_retries_are_spent_once_or_given_back() -> None:
    budget = RetryBudget(ratio=0.0, slack=2 / SLACK_USE, window_s=10.0)
    assert budget.hold(SERVICE, 1, now_s=0.0)
    assert budget.hold(SERVICE, 1, now_s=0.0)
    assert not budget.spend(SERVICE, 1, now_s=0.0)
    budget.spend_held(SERVICE, now_s=1.0)
    budget.release(SERVICE, 1)
    assert budget.spend(SERVICE, 1, now_s=1.0)
    assert not budget.spend(SERVICE, 1, now_s=10.5)
    assert budget.spend(SERVICE, 1, now_s=11.5)
