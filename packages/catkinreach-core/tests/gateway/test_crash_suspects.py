"""Requests and parts of prompts that crash upstreams."""

from __future__ import annotations

import pytest

from catkinreach_core.gateway.crash_log import SAME_CRASH_S
from catkinreach_core.gateway.crash_suspects import (
    CRASHES_TO_REFUSE,
    MAX_GOSSIP_NEW,
    MAX_SUSPECTS,
    MIN_REFUSAL_S,
    RANK_DELAY_S,
    CrashSource,
    CrashSuspects,
    SuspectKey,
)
from catkinreach_core.gateway.suspect import EXCUSED_REFUSAL_S
from catkinreach_core.gateway.trial import TRIAL_S

NOW_S = 5.0
REQUEST = SuspectKey('request')
CRASHING = SuspectKey('crashing part')
HARMLESS = SuspectKey('harmless part')
OTHER_REQUEST = SuspectKey('another request')
CRASHES = tuple(CrashSource(number) for number in range(CRASHES_TO_REFUSE))


def _crash_all(suspects: CrashSuspects, *keys: SuspectKey) -> None:
    for crash in CRASHES:
        suspects.record_crash(keys, crash, float(crash))


def _node_of_rank(rank: int) -> CrashSuspects:
    return CrashSuspects(lambda _: rank)


def test_crashes_at_all_nodes_count_towards_a_refusal() -> None:
    node, peer = CrashSuspects(), CrashSuspects()
    for crash in CRASHES[1:]:
        peer.record_crash([REQUEST], crash, 0.0)
    node.merge(peer.report(NOW_S), 0.0)
    assert not node.is_quarantined([REQUEST], 0.0)
    node.record_crash([REQUEST], CRASHES[0], 1.0)
    assert node.is_quarantined([REQUEST], 1.0)


def test_completed_request_is_no_longer_a_suspect() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, REQUEST)
    suspects.clear_now([REQUEST], NOW_S)
    assert not suspects.is_quarantined([REQUEST], 5.0)
    assert not any(
        one.crashes for one in suspects.report(NOW_S).suspects.values()
    )


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
        node.merge(peer.report(0.0), 0.0)
    node.record_crash([CRASHING], CRASHES[0], 1.0)
    assert node.crashes([CRASHING]) == 1


def test_harmless_part_may_run_without_the_crashing_one() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, HARMLESS, CRASHING)
    assert suspects.is_quarantined([HARMLESS, CRASHING], 3.0)
    assert not suspects.is_quarantined([SuspectKey('other'), HARMLESS], 3.0)


def test_part_that_crashes_alone_is_quarantined_alone() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, HARMLESS, CRASHING)
    suspects.record_crash([CRASHING], CrashSource(99), 4.0)
    assert suspects.is_quarantined([CRASHING], 4.0)
    assert not suspects.is_quarantined([HARMLESS], 4.0)


def test_part_that_ran_at_a_peer_is_cleared_for_all_nodes() -> None:
    node, peer = CrashSuspects(), CrashSuspects()
    _crash_all(node, HARMLESS)
    peer.merge(node.report(NOW_S), NOW_S)
    peer.clear_now([HARMLESS], NOW_S)
    node.merge(peer.report(NOW_S), NOW_S)
    assert not node.is_quarantined([HARMLESS], NOW_S)
    peer.merge(node.report(NOW_S), NOW_S)
    assert not peer.is_quarantined([HARMLESS], NOW_S)


def test_crashes_stay_known_when_the_node_that_saw_them_ends() -> None:
    # Counts of a peer that left were dropped with it.
    seen, node = CrashSuspects(), CrashSuspects()
    _crash_all(seen, CRASHING)
    node.merge(seen.report(NOW_S), 0.0)
    started_anew = CrashSuspects()
    started_anew.merge(node.report(NOW_S), 1.0)
    assert started_anew.is_quarantined([CRASHING], 1.0)


def test_refusal_ends_and_one_more_crash_renews_it() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    later_s = CRASHES[-1] + MIN_REFUSAL_S
    assert suspects.is_quarantined([CRASHING], later_s - 0.1)
    assert not suspects.is_quarantined([CRASHING], later_s)
    suspects.record_crash([CRASHING], CrashSource(99), later_s)
    assert suspects.is_quarantined([CRASHING], later_s)


def test_many_single_suspects_leave_room_for_repeated_ones() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    for number in range(4 * MAX_GOSSIP_NEW):
        suspects.record_crash([SuspectKey(str(number))], CrashSource(9), 9.0)
    reports = suspects.report(9.0).suspects
    assert len(reports) <= MAX_GOSSIP_NEW + 16
    assert len(reports[CRASHING].crashes) == CRASHES_TO_REFUSE


def test_first_crash_is_told_beside_many_others() -> None:
    # Messages had no room for it, also later ones.
    node, peer = CrashSuspects(), CrashSuspects()
    node.record_crash([REQUEST, CRASHING], CRASHES[0], 0.0)
    for number in range(4 * MAX_GOSSIP_NEW):
        node.record_crash([SuspectKey(str(number))], CRASHES[0], 0.0)
    for _ in range(8):
        peer.merge(node.report(0.0), 0.0)
    assert peer.crashes([CRASHING]) == 1


def test_new_crashes_and_clears_are_told_beside_old_suspects() -> None:
    # Old suspects with several crashes took all places of a message.
    node, peer = CrashSuspects(), CrashSuspects()
    _crash_all(node, HARMLESS)
    _crash_all(peer, HARMLESS)
    for number in range(4 * MAX_GOSSIP_NEW):
        for crash in CRASHES:
            node.record_crash([SuspectKey(str(number))], crash, 1.0)
    node.record_crash([CRASHING], CRASHES[0], 9.0)
    node.clear_now([HARMLESS], 9.0)
    peer.merge(node.report(9.0), 9.0)
    assert peer.crashes([CRASHING]) == 1
    assert not peer.is_quarantined([HARMLESS], 9.0)


@pytest.mark.parametrize('engines', [8, 9, 12, 16])
def test_clear_after_the_loss_of_many_engines_reaches_peers(
    engines: int,
) -> None:
    # Only the newest six of the cleared crashes were told.
    node, peer = CrashSuspects(), CrashSuspects()
    for number in range(engines):
        node.record_crash([HARMLESS], CrashSource(number), 0.0)
        peer.merge(node.report(0.0), 0.0)
    node.clear_now([HARMLESS], 1.0)
    peer.merge(node.report(1.0), 1.0)
    node.merge(peer.report(1.0), 1.0)
    assert not node.is_quarantined([HARMLESS], 1.0)
    assert not peer.is_quarantined([HARMLESS], 1.0)


def test_node_that_starts_anew_still_serves_the_harmless_part() -> None:
    # It heard of fewer crashes of the other part than of this one.
    seen, started_anew = CrashSuspects(), CrashSuspects()
    for number in range(9):
        keys = [HARMLESS, CRASHING] if number < 3 else [CRASHING]
        seen.record_crash(keys, CrashSource(number), float(number))
    started_anew.merge(seen.report(9.0), 9.0)
    assert not started_anew.is_quarantined([HARMLESS], 9.0)
    assert started_anew.is_quarantined([CRASHING], 9.0)


def test_crashing_part_stays_known_beside_many_single_suspects() -> None:
    # A refused key was the oldest, and so the first that was dropped.
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    for number in range(MAX_SUSPECTS + 1):
        suspects.record_crash([SuspectKey(str(number))], CrashSource(77), 5.0)
    assert suspects.is_quarantined([CRASHING], 6.0)


def test_refusal_doubles_with_each_crash() -> None:
    # A part that was refused wrongly never got the chance to run again.
    suspects = CrashSuspects()
    _crash_all(suspects, HARMLESS)
    first_end_s = CRASHES[-1] + MIN_REFUSAL_S
    assert not suspects.is_quarantined([HARMLESS], first_end_s)
    suspects.record_crash([HARMLESS], CrashSource(99), first_end_s)
    assert suspects.is_quarantined([HARMLESS], first_end_s + MIN_REFUSAL_S)
    assert not suspects.is_quarantined(
        [HARMLESS], first_end_s + 2 * MIN_REFUSAL_S
    )


def test_only_what_this_node_saw_is_told_at_once() -> None:
    node, peer = CrashSuspects(), CrashSuspects()
    node.record_crash([CRASHING], CRASHES[0], 0.0)
    peer.merge(node.report(NOW_S), 0.0)
    assert node.take_news()
    assert not node.take_news()
    assert not peer.take_news()


def test_clock_of_a_peer_splits_a_crash_in_two() -> None:
    # Crashes were named by the time of day, which differs between nodes.
    node, peer = CrashSuspects(), CrashSuspects()
    for number, crash in enumerate(CRASHES):
        at_s = 10.0 * number
        node.record_crash([HARMLESS, CRASHING], crash, at_s)
        peer.record_crash([HARMLESS], crash, 7_000.0 + at_s)
        node.merge(peer.report(7_000.3 + at_s), at_s + 0.3)
    assert node.crashes([HARMLESS]) == len(CRASHES)
    assert not node.is_quarantined([OTHER_REQUEST, HARMLESS], 21.0)


def test_later_crash_of_one_source_is_another_crash() -> None:
    suspects = CrashSuspects()
    for number in range(CRASHES_TO_REFUSE):
        at_s = 2 * SAME_CRASH_S * number
        suspects.record_crash([CRASHING], CRASHES[0], at_s)
    assert suspects.crashes([CRASHING]) == CRASHES_TO_REFUSE


def test_crash_soon_after_a_restart_is_taken_for_the_one_before() -> None:
    # Soak seed 481, 40 fronts: crashes of an engine 2 s apart counted as one.
    node, peer = CrashSuspects(), CrashSuspects()
    for number in range(CRASHES_TO_REFUSE):
        node.record_up(CRASHES[0], 2.0 * number - 0.1)
        node.record_crash([CRASHING], CRASHES[0], 2.0 * number)
    assert node.crashes([CRASHING]) == CRASHES_TO_REFUSE
    peer.record_crash([HARMLESS], CRASHES[0], 2.1)
    peer.merge(node.report(NOW_S), NOW_S)
    peer.merge(node.report(NOW_S), NOW_S)
    assert peer.crashes([CRASHING]) == CRASHES_TO_REFUSE
    assert peer.crashes([HARMLESS]) == 1
    node.merge(peer.report(NOW_S), NOW_S)
    assert node.crashes([CRASHING]) == CRASHES_TO_REFUSE


def test_clear_of_more_crashes_than_a_report_holds_reaches_peers() -> None:
    # A report named the newest cleared crashes only.
    node, peer = CrashSuspects(), CrashSuspects()
    for number in range(40):
        node.record_crash([HARMLESS], CrashSource(number), 0.0)
        peer.merge(node.report(0.0), 0.0)
    node.clear_now([HARMLESS], 1.0)
    peer.merge(node.report(1.0), 1.0)
    node.merge(peer.report(1.0), 1.0)
    assert not node.is_quarantined([HARMLESS], 1.0)
    assert not peer.is_quarantined([HARMLESS], 1.0)


def test_crash_after_the_start_of_a_run_is_not_cleared_by_it() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    suspects.clear([CRASHING], ran_at_s=CRASHES[0] + 0.5, now_s=NOW_S)
    assert suspects.crashes([CRASHING]) == CRASHES_TO_REFUSE - 1


def test_loss_of_many_engines_refuses_a_part_for_minutes() -> None:
    # The refusal doubled with each engine that was lost at the same moment.
    suspects = CrashSuspects()
    for number in range(8):
        suspects.record_crash([HARMLESS], CrashSource(number), 0.1 * number)
    assert suspects.is_quarantined([HARMLESS], MIN_REFUSAL_S)
    assert not suspects.is_quarantined([HARMLESS], MIN_REFUSAL_S + 1.0)


def test_end_of_a_refusal_lets_all_requests_pass_at_once() -> None:
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    end_s = CRASHES[-1] + MIN_REFUSAL_S
    tried = [SuspectKey('tried'), CRASHING]
    other = [OTHER_REQUEST, CRASHING]
    assert not suspects.is_quarantined(tried, end_s)
    assert suspects.is_quarantined(other, end_s)
    assert not suspects.is_quarantined(tried, end_s + 0.1)
    assert suspects.is_quarantined(other, end_s + TRIAL_S - 0.1)
    assert not suspects.is_quarantined(other, end_s + TRIAL_S)


def test_nodes_try_a_refused_part_all_at_once() -> None:
    nodes = [_node_of_rank(rank) for rank in range(3)]
    for node in nodes:
        _crash_all(node, CRASHING)
    end_s = CRASHES[-1] + MIN_REFUSAL_S
    allowed = [not node.is_quarantined([CRASHING], end_s) for node in nodes]
    assert allowed == [True, False, False]
    assert not nodes[1].is_quarantined([CRASHING], end_s + RANK_DELAY_S)


def test_unrelated_crash_ends_the_excuse_of_a_harmless_part() -> None:
    # A part was excused only if another one was in each of its crashes.
    suspects = CrashSuspects()
    _crash_all(suspects, HARMLESS, CRASHING)
    suspects.record_crash([HARMLESS], CrashSource(99), NOW_S)
    keys = [OTHER_REQUEST, HARMLESS]
    assert suspects.is_quarantined(keys, NOW_S)
    assert not suspects.is_quarantined(keys, NOW_S + EXCUSED_REFUSAL_S)
    suspects.clear_now(keys, NOW_S + EXCUSED_REFUSAL_S + 1)
    assert not suspects.is_quarantined([HARMLESS], NOW_S + EXCUSED_REFUSAL_S)


def test_harmless_part_with_a_crash_of_its_own_is_refused() -> None:
    # Soak seed 516: it was refused beside a part that explained the others.
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    suspects.record_crash([HARMLESS, CRASHING], CrashSource(50), 10.0)
    suspects.record_crash([HARMLESS, CRASHING], CrashSource(51), 14.0)
    suspects.record_crash([HARMLESS], CrashSource(52), 18.0)
    assert not suspects.is_quarantined([OTHER_REQUEST, HARMLESS], 18.0)
    assert suspects.is_quarantined([OTHER_REQUEST, CRASHING], 18.0)


def test_request_that_does_not_run_keeps_others_out() -> None:
    # Soak seed 532: the one that was tried found no engine.
    suspects = CrashSuspects()
    _crash_all(suspects, CRASHING)
    end_s = CRASHES[-1] + MIN_REFUSAL_S
    waiting = [SuspectKey('waiting'), CRASHING]
    tried = [SuspectKey('tried'), CRASHING]
    other = [OTHER_REQUEST, CRASHING]
    assert not suspects.is_quarantined(waiting, end_s, begins_run=False)
    assert not suspects.is_quarantined(tried, end_s)
    assert suspects.is_quarantined(waiting, end_s, begins_run=False)
    suspects.end_trial(tried)
    assert not suspects.is_quarantined(other, end_s)
