"""Health of upstreams."""

from __future__ import annotations

from catkinreach_core.gateway.health import HealthTable
from catkinreach_core.ids import UpstreamId

UPSTREAM = UpstreamId('a')


def test_upstream_that_fails_again_is_not_newly_down() -> None:
    health = HealthTable()
    assert not health.went_down_before(UPSTREAM, 9.0)
    health.record_unreachable(UPSTREAM, 1.0)
    health.record_unreachable(UPSTREAM, 3.0)
    assert health.went_down_before(UPSTREAM, 2.0)
    health.record_reachable(UPSTREAM)
    assert not health.went_down_before(UPSTREAM, 9.0)
    health.record_unreachable(UPSTREAM, 5.0)
    assert not health.went_down_before(UPSTREAM, 5.0)
