"""Reports of peers about upstreams that leave, or asked them for a pause."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from catkinreach_core.gateway.availability import Availability
from catkinreach_core.gateway.peer_availability import (
    MAX_REPORTS,
    REPORT_S,
    REST_S,
    AvailabilityReport,
    PeerAvailability,
    bound_reports,
    make_reports,
)
from catkinreach_core.ids import UpstreamId
from catkinreach_standins.fakes.gateway import make_upstream

ENGINE = make_upstream('engine')
OTHER = make_upstream('other')
LEAVES = AvailabilityReport(ENGINE.started_ms, None)
LONG_PAUSE = AvailabilityReport(ENGINE.started_ms, 60_000)


def test_node_tells_of_an_upstream_that_is_available() -> None:
    availability = Availability()
    availability.record_leaving(ENGINE)
    availability.record_pause(OTHER, 1.5, 0.0)
    later = make_upstream('later')
    assert make_reports(availability, [ENGINE, OTHER, later], 1.0) == {
        ENGINE.upstream_id: AvailabilityReport(ENGINE.started_ms, None),
        OTHER.upstream_id: AvailabilityReport(OTHER.started_ms, 500),
    }
    assert OTHER.upstream_id not in make_reports(availability, [OTHER], 1.5)


@pytest.mark.parametrize('report', [LEAVES, LONG_PAUSE])
def test_report_keeps_an_upstream_idle_for_long(
    report: AvailabilityReport,
) -> None:
    peers = PeerAvailability()
    assert peers.record(ENGINE, report, 0.0)
    first = peers.penalty(ENGINE, 0.0)
    assert first > peers.penalty(ENGINE, REPORT_S / 2) > 1
    assert peers.penalty(ENGINE, REPORT_S) == 1
    assert peers.penalty(OTHER, 0.0) == 1


@pytest.mark.parametrize('report', [LEAVES, LONG_PAUSE])
def test_repeated_reports_prolong_their_effect(
    report: AvailabilityReport,
) -> None:
    peers = PeerAvailability()
    step_s = 0.25
    steps = int((REPORT_S + REST_S) / step_s)
    affected = 0
    for step in range(steps):
        peers.record(ENGINE, report, step * step_s)
        affected += peers.penalty(ENGINE, step * step_s) > 1
    assert affected * step_s <= REPORT_S


def test_effect_lasts_longer_than_the_pause() -> None:
    peers = PeerAvailability()
    peers.record(ENGINE, AvailabilityReport(ENGINE.started_ms, 300), 0.0)
    assert peers.penalty(ENGINE, 0.2) > 1
    assert peers.penalty(ENGINE, 0.3) == 1


@pytest.mark.parametrize('remaining_ms', [0, -5])
def test_pause_that_is_over_has_an_effect(remaining_ms: int) -> None:
    peers = PeerAvailability()
    report = AvailabilityReport(ENGINE.started_ms, remaining_ms)
    assert not peers.record(ENGINE, report, 0.0)
    assert peers.penalty(ENGINE, 0.0) == 1


def test_report_of_another_incarnation_has_an_effect() -> None:
    peers = PeerAvailability()
    peers.record(ENGINE, LEAVES, 0.0)
    reborn = replace(ENGINE, started_ms=ENGINE.started_ms + 1)
    assert not peers.record(reborn, LEAVES, 0.0)
    assert peers.penalty(reborn, 0.0) == 1


def test_message_holds_a_report_for_each_of_many_upstreams() -> None:
    names = [UpstreamId(f'i-{number}') for number in range(3 * MAX_REPORTS)]
    reports = dict.fromkeys(names, LEAVES)
    bounded = bound_reports(reports, reversed(names))
    assert list(bounded) == names[: -MAX_REPORTS - 1 : -1]
