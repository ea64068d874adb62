"""What a VM knows of the software versions at which streams began."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.held_prompts import (
    HELD_S,
    MAX_KEPT_PARTS,
    HeldPrompts,
)
from catkinreach_core.gateway.software_versions import (
    STREAM_LIFETIME_S,
    SoftwareVersions,
)
from catkinreach_core.gateway.stream_origins import (
    MAX_ORIGINS,
    MAX_TOLD_NODES,
    READING_NODES,
    TOLD_NODES,
    StreamOrigins,
    reading_hosts,
    told_hosts,
)
from catkinreach_core.gateway.view import EXPIRY_GRACE_S, FleetView
from catkinreach_core.gateway.wait_queue import QueuedStream, WaitQueue
from catkinreach_core.ids import RequestId, ServiceId, SoftwareVersion
from catkinreach_standins.fakes.gateway import SERVICE, make_upstream

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream

V1 = SoftwareVersion('v1')
V2 = SoftwareVersion('v2')
OLD_S = 2 * STREAM_LIFETIME_S


def _upstream(name: str, version: SoftwareVersion) -> Upstream:
    return make_upstream(name, software_version=version)


def test_single_version_is_certain_after_the_life_of_streams() -> None:
    view = FleetView()
    view.put_upstream(_upstream('a', V1), 0.0)
    assert view.sole_version(SERVICE, STREAM_LIFETIME_S - 0.1) is None
    assert view.sole_version(SERVICE, STREAM_LIFETIME_S) == V1


def test_version_that_left_may_still_have_streams() -> None:
    view = FleetView()
    view.put_upstream(_upstream('a', V1), 0.0)
    view.put_upstream(_upstream('b', V2), OLD_S)
    view.remove_upstream(_upstream('a', V1).upstream_id, OLD_S + 1)
    assert view.sole_version(SERVICE, OLD_S + 2) is None
    assert view.sole_version(SERVICE, OLD_S + 1 + STREAM_LIFETIME_S) is None
    assert view.sole_version(SERVICE, OLD_S + 2 + STREAM_LIFETIME_S) == V2


def test_version_that_an_engine_had_before_stays_possible() -> None:
    view = FleetView()
    view.put_upstream(_upstream('a', V1), 0.0)
    view.put_upstream(_upstream('a', V2), OLD_S)
    assert view.sole_version(SERVICE, OLD_S + 1) is None


def test_outage_of_the_store_may_have_hidden_a_version() -> None:
    view = FleetView()
    view.put_upstream(_upstream('a', V1), 0.0)
    view.record_store_recovery(OLD_S)
    assert view.sole_version(SERVICE, OLD_S + EXPIRY_GRACE_S) is None
    assert view.sole_version(SERVICE, OLD_S + STREAM_LIFETIME_S) == V1


def test_version_that_began_during_an_outage_was_taken_for_none() -> None:
    view = FleetView()
    view.put_upstream(_upstream('a', V1), 0.0)
    view.record_store_loss()
    assert view.sole_version(SERVICE, OLD_S) is None
    view.record_store_read()
    assert view.sole_version(SERVICE, OLD_S) == V1


def test_services_have_versions_of_their_own() -> None:
    versions = SoftwareVersions()
    versions.note(SERVICE, V1, 0.0)
    versions.note(ServiceId('other'), V2, 0.0)
    assert versions.sole_version(SERVICE, {V1}, OLD_S) == V1
    assert versions.sole_version(ServiceId('none'), set(), OLD_S) is None


def test_origins_are_forgotten_after_the_life_of_streams() -> None:
    origins = StreamOrigins()
    origins.record(RequestId('a'), V1, 0.0)
    origins.merge({RequestId('b'): V2}, STREAM_LIFETIME_S)
    assert origins.find(RequestId('a')) == V1
    origins.record(RequestId('c'), V2, OLD_S + 1)
    assert origins.find(RequestId('a')) is None
    assert origins.find(RequestId('b')) == V2


def test_streams_without_a_request_shared_one_version() -> None:
    origins = StreamOrigins()
    origins.merge({RequestId(''): V1}, 0.0)
    assert origins.find(RequestId('')) is None


def test_later_notice_replaced_the_version_of_a_stream() -> None:
    origins = StreamOrigins()
    origins.record(RequestId('a'), V1, 0.0)
    origins.merge({RequestId('a'): V2}, 1.0)
    assert origins.find(RequestId('a')) == V1


def test_origins_are_bounded() -> None:
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 10):
        origins.record(RequestId(str(number)), V1, 0.0)
    assert origins.find(RequestId('9')) is None
    assert origins.find(RequestId('10')) == V1


@pytest.mark.parametrize('peers', [0, 1, MAX_TOLD_NODES])
def test_small_fleet_tells_all_peers(peers: int) -> None:
    hosts = [f'10.0.0.{number}' for number in range(peers)]
    assert set(told_hosts(RequestId('a'), hosts)) == set(hosts)


def test_large_fleet_tells_the_same_few_peers_of_a_stream() -> None:
    hosts = [f'10.0.0.{number}' for number in range(MAX_TOLD_NODES + 1)]
    told = told_hosts(RequestId('a'), hosts)
    assert len(told) == TOLD_NODES
    assert told == told_hosts(RequestId('a'), hosts[::-1])
    assert told != told_hosts(RequestId('b'), hosts)


def test_engines_are_asked_by_each_vm_of_a_large_fleet() -> None:
    # 102 reads of 35 engines came within 2 s of a restart of 70 VMs.
    hosts = [f'10.0.0.{number}' for number in range(MAX_TOLD_NODES + 1)]
    readers = reading_hosts(SERVICE, hosts)
    assert len(readers) == READING_NODES
    assert readers == reading_hosts(SERVICE, hosts[::-1])
    assert reading_hosts(SERVICE, hosts[1:]) == ()


def test_part_held_at_two_versions_tells_none() -> None:
    held = HeldPrompts()
    for part in 'pq':
        held.need(SERVICE, part, 1.0)
    held.record(SERVICE, V1, ['p', 'q'], 0.0)
    assert held.find(SERVICE, 'p') == V1
    held.record(SERVICE, V2, ['p'], 1.0)
    assert held.find(SERVICE, 'p') is None
    assert held.find(SERVICE, 'q') == V1
    assert held.find(ServiceId('other'), 'q') is None
    held.expire(HELD_S + 0.5)
    assert held.find(SERVICE, 'p') == V2
    assert held.find(SERVICE, 'q') is None


def test_parts_that_no_stream_needs_were_kept() -> None:
    # 700 engines with 600 parts each took over 100 MB.
    held = HeldPrompts()
    held.record(SERVICE, V1, ['p'], 0.0)
    assert held.find(SERVICE, 'p') is None
    held.need(SERVICE, 'p', 0.0)
    held.record(SERVICE, V1, ['p'], 0.0)
    assert held.find(SERVICE, 'p') == V1


def test_parts_that_are_kept_at_the_start_are_bounded() -> None:
    held = HeldPrompts()
    parts = [str(number) for number in range(MAX_KEPT_PARTS + 1)]
    held.need_all(SERVICE, parts, 0.0)
    held.record(SERVICE, V1, parts, 0.0)
    assert held.find(SERVICE, parts[-2]) == V1
    assert held.find(SERVICE, parts[-1]) is None


def _queued(
    arrived_s: float, version: SoftwareVersion | None = None
) -> QueuedStream:
    return QueuedStream(
        tokens=1000,
        priority=0,
        workspace_cost=0.0,
        arrived_s=arrived_s,
        on_time_until_s=10.0,
        useful_until_s=10.0,
        has_progress=version is not None,
        version=version,
    )


def test_each_version_has_a_head_of_the_queue() -> None:
    queue = WaitQueue()
    first, second, free = _queued(0.0, V1), _queued(1.0, V1), _queued(2.0)
    other = _queued(3.0, V2)
    for stream in (first, second, free, other):
        queue.add(stream)
    heads = [
        queue.is_first(stream, 4.0) for stream in (first, second, free, other)
    ]
    assert heads == [True, False, True, True]
    assert queue.pinned_versions() == {V1, V2}
