"""Requests and parts of prompts that crash upstreams."""

from __future__ import annotations

from catkinreach_core.gateway.crash_suspects import (
    CRASHES_TO_REFUSE,
    MAX_GOSSIP_SUSPECTS,
    REFUSAL_S,
    CrashId,
    CrashSuspects,
    SuspectKey,
)

REQUEST = SuspectKey('request')
CRASHING = SuspectKey('crashing part')
SOUND = SuspectKey('sound part')
CRASHES = tuple(CrashId(number) for number in range(CRASHES_TO_REFUSE))


def _crash_all(suspects: CrashSuspects, *keys: SuspectKey) -> None:
    for crash in CRASHES:
        suspects.record_crash(keys, crash, float(crash))


def test_crashes_at_all_nodes_count_towards_a_refusal() -> None:
    node, peer = CrashSuspects(), CrashSuspects()
    for crash in CRASHES[1:]:
        peer.record_crash([REQUEST], crash, 0.0)
    node.merge(peer.reports(), 0.0)
    assert not node.is_quarantined([REQUEST], 0.0)
    node.record_crash([REQUEST], CRASHES[0], 1.0)
    assert node.is_quarantined([REQUEST], 1.0)


def test_completed_request_is_no_longer_a_suspect() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, REQUEST)
    suspects.clear([REQUEST])
    assert not suspects.is_quarantined([REQUEST], 5.0)
    assert not any(one.crashes for one in suspects.reports().values())


def test_requests_with_one_crashing_part_are_sent_on_and_on() -> None:
    # Only the hash of the whole request was counted.
    suspects = CrashSuspects()
    for crash in CRASHES:
        own = SuspectKey(f'request {crash}')
        suspects.record_crash([own, CRASHING], crash, 0.0)
    assert suspects.is_quarantined(
        [SuspectKey('another request'), CRASHING], 0.0
    )


def test_one_crash_that_several_nodes_saw_counts_once() -> None:
    node = CrashSuspects()
    for _ in range(CRASHES_TO_REFUSE):
        peer = CrashSuspects()
        peer.record_crash([CRASHING], CRASHES[0], 0.0)
        node.merge(peer.reports(), 0.0)
    node.record_crash([CRASHING], CRASHES[0], 1.0)
    assert node.crashes([CRASHING]) == 1


def test_sound_part_may_run_without_the_crashing_one() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, SOUND, CRASHING)
    assert suspects.is_quarantined([SOUND, CRASHING], 3.0)
    assert not suspects.is_quarantined([SuspectKey('other'), SOUND], 3.0)


def test_part_that_crashes_alone_is_quarantined_alone() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, SOUND, CRASHING)
    suspects.record_crash([CRASHING], CrashId(99), 4.0)
    assert suspects.is_quarantined([CRASHING], 4.0)
    assert not suspects.is_quarantined([SOUND], 4.0)


def test_part_that_ran_at_a_peer_is_cleared_for_all_nodes() -> None:
    node, peer = CrashSuspects(), CrashSuspects()
    _crash_all(node, SOUND)
    peer.merge(node.reports(), 0.0)
    peer.clear([SOUND])
    node.merge(peer.reports(), 1.0)
    assert not node.is_quarantined([SOUND], 1.0)
    peer.merge(node.reports(), 2.0)
    assert not peer.is_quarantined([SOUND], 2.0)


def test_crashes_stay_known_when_the_node_that_saw_them_ends() -> None:
    # Counts of a peer that left were dropped with it.
    seen, node = CrashSuspects(), CrashSuspects()
    _crash_all(seen, CRASHING)
    node.merge(seen.reports(), 0.0)
    started_anew = CrashSuspects()
    started_anew.merge(node.reports(), 1.0)
    assert started_anew.is_quarantined([CRASHING], 1.0)


def test_refusal_ends_and_one_more_crash_renews_it() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    later_s = CRASHES[-1] + REFUSAL_S
    assert suspects.is_quarantined([CRASHING], later_s - 0.1)
    assert not suspects.is_quarantined([CRASHING], later_s)
    suspects.record_crash([CRASHING], CrashId(99), later_s)
    assert suspects.is_quarantined([CRASHING], later_s)


def test_many_single_suspects_leave_room_for_repeated_ones() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    for number in range(2 * MAX_GOSSIP_SUSPECTS):
        suspects.record_crash([SuspectKey(str(number))], CrashId(9), 5.0)
    reports = suspects.reports()
    assert len(reports) == MAX_GOSSIP_SUSPECTS
    assert len(reports[CRASHING].crashes) == CRASHES_TO_REFUSE


def test_only_what_this_node_saw_is_told_at_once() -> None:
    node, peer = CrashSuspects(), CrashSuspects()
    node.record_crash([CRASHING], CRASHES[0], 0.0)
    peer.merge(node.reports(), 0.0)
    assert node.take_news()
    assert not node.take_news()
    assert not peer.take_news()
