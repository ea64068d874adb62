"""Gossip messages between nodes and the membership that follows from them."""

from __future__ import annotations

from catkinreach_core.gateway.crash_reports import (
    CrashReport,
    CrashSource,
    SeenCrash,
    SuspectKey,
)
from catkinreach_core.gateway.crash_suspects import CrashSuspects
from catkinreach_core.gateway.gossip import (
    CrashMessage,
    GossipMessage,
    Phase,
    decode_gossip,
    encode_gossip,
)
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.members import (
    FORGET_AFTER_S,
    SILENT_AFTER_S,
    Members,
)
from catkinreach_core.ids import UpstreamId


def test_message_round_trips_through_its_encoding() -> None:
    message = GossipMessage(
        node='10.0.0.1',
        phase=Phase.STOPPING,
        members=['10.0.0.2'],
        loads={UpstreamId('a'): UpstreamLoad(1, 2, 3)},
    )
    assert decode_gossip(encode_gossip(message)) == message


def test_malformed_bytes_decode_to_none() -> None:
    assert decode_gossip(b'\xc1') is None
    assert decode_gossip(b'') is None
    assert decode_gossip(b'\x93\x01\x02\x03') is None


def test_members_are_learned_from_seeds_and_peers() -> None:
    members = Members('a', ['a', 'b'])
    assert list(members.contacts) == ['b']
    assert members.record_message('b', ['a', 'c'], 0.0)
    assert list(members.contacts) == ['b', 'c']
    assert members.count == 2
    assert members.silent_count(SILENT_AFTER_S) == 0
    assert members.silent_count(SILENT_AFTER_S + 0.1) == 1


def test_partition_still_counts_recent_members_in_shared_limits() -> None:
    members = Members('a', ['b'])
    assert members.share_count == 2
    for number in range(8):
        members.record_message(f'peer-{number}', [], 0.0)
    members.expire(FORGET_AFTER_S + 1)
    assert members.count == 1
    assert members.share_count == 9
    members.record_message('b', [], 100.0)
    assert members.share_count == 2


def test_silent_member_is_removed_but_a_seed_stays_a_contact() -> None:
    members = Members('a', ['b'])
    members.record_message('b', [], 0.0)
    members.record_message('c', [], 10.0)
    assert members.expire(FORGET_AFTER_S + 1) == ('b',)
    assert list(members.contacts) == ['b', 'c']
    assert members.count == 2


def test_long_crash_report_holds_the_event_loop() -> None:
    # Merging takes the cube of the number of crashes.
    report = CrashReport([SeenCrash(CrashSource(0), 0)] * 1_000, {})
    message = CrashMessage(node='10.0.0.1', report=report)
    assert decode_gossip(encode_gossip(message)) is None


def test_longest_crash_report_of_a_node_is_refused() -> None:
    suspects = CrashSuspects()
    for number in range(400):
        keys = [SuspectKey(f'{number % 40}'), SuspectKey(f'own {number}')]
        suspects.record_crash(keys, CrashSource(number), float(number))
        message = CrashMessage(
            node='10.0.0.1', report=suspects.report(float(number))
        )
        assert decode_gossip(encode_gossip(message)) == message
