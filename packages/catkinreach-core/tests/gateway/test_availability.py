"""Upstreams that leave, and those that ask for a pause."""

from __future__ import annotations

import math

import pytest
from msgspec.structs import replace

from catkinreach_core.gateway.availability import (
    MAX_LEAVING,
    MAX_PAUSE_S,
    RAMP_S,
    Availability,
)
from catkinreach_standins.fakes.gateway import make_upstream

ENGINE = make_upstream('engine')
OTHER = make_upstream('other')


def test_leaving_upstream_gets_requests_until_it_is_replaced() -> None:
    availability = Availability()
    assert availability.record_leaving(ENGINE)
    assert not availability.record_leaving(ENGINE)
    assert not availability.may_get_requests(ENGINE, 1e6)
    assert availability.may_get_requests(OTHER, 0.0)
    reborn = replace(ENGINE, started_ms=ENGINE.started_ms + 1)
    assert availability.may_get_requests(reborn, 0.0)


def test_leaving_upstreams_are_remembered_without_a_bound() -> None:
    availability = Availability()
    for started_ms in range(MAX_LEAVING + 10):
        availability.record_leaving(replace(ENGINE, started_ms=started_ms))
    assert availability.leaving_count() == MAX_LEAVING


def test_shorter_pause_ends_a_longer_one() -> None:
    availability = Availability()
    assert availability.record_pause(ENGINE, 2.0, 0.0)
    assert not availability.record_pause(ENGINE, 0.5, 0.1)
    assert not availability.may_get_requests(ENGINE, 1.9)
    assert availability.may_get_requests(ENGINE, 2.0)
    assert availability.paused_count(1.0) == 1


@pytest.mark.parametrize('pause_s', [1e9, math.inf])
def test_huge_pause_shuts_an_upstream_out(pause_s: float) -> None:
    availability = Availability()
    availability.record_pause(ENGINE, pause_s, 0.0)
    assert availability.may_get_requests(ENGINE, MAX_PAUSE_S)


def test_all_requests_come_back_at_once_after_a_pause() -> None:
    availability = Availability()
    availability.record_pause(ENGINE, 1.0, 0.0)
    assert not availability.is_returning(ENGINE, 0.9)
    assert availability.is_returning(ENGINE, 1.0)
    assert not availability.is_returning(ENGINE, 1.0 + RAMP_S)


def test_shortest_pause_counts_upstreams_that_leave() -> None:
    availability = Availability()
    availability.record_pause(ENGINE, 2.0, 0.0)
    assert availability.shortest_pause_s([ENGINE, OTHER], 0.0) == 0.0
    availability.record_leaving(OTHER)
    assert availability.shortest_pause_s([ENGINE, OTHER], 0.0) == 2.0
