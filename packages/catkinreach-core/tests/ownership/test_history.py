"""Tests how long a VM list stays active after a newer one was published.

An old list must stay active until all grants under it have expired; otherwise
two nodes could own a shard under different lists.
"""

from __future__ import annotations

from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import FailureDomainId, Revision, ShardId, VmId
from catkinreach_core.ownership.history import ListHistory
from catkinreach_core.ownership.timing import MAX_LEASE_S

SHARD = ShardId('limit/1')


def _vm_list(revision: int, numbers: range) -> VmList:
    return VmList(
        revision=Revision(revision),
        vms=tuple(
            VmEntry(
                id=VmId(f'vm-{number}'),
                peer_address='127.0.0.1:1',
                failure_domain=FailureDomainId('a'),
            )
            for number in numbers
        ),
    )


def _history() -> ListHistory:
    history = ListHistory()
    history.add_list(_vm_list(1, range(1, 4)), 0.0)
    history.add_list(_vm_list(2, range(1, 6)), 10.0)
    return history


def test_old_list_is_active_until_its_majority_knows_the_new_one() -> None:
    history = _history()
    for number in (1, 2):
        history.record_revisions(
            VmId(f'vm-{number}'), (Revision(1), Revision(2)), 11.0
        )
    before_s = 11.0 + MAX_LEASE_S - 0.01
    assert len(history.quorums(SHARD, before_s)) == 2
    assert len(history.quorums(SHARD, 11.0 + MAX_LEASE_S)) == 1


def test_peers_that_know_only_the_old_list_do_not_retire_it() -> None:
    history = _history()
    for number in (1, 2, 3):
        history.record_revisions(VmId(f'vm-{number}'), (Revision(1),), 11.0)
    assert len(history.quorums(SHARD, 100.0)) == 2


def test_report_with_unknown_lists_is_not_recorded() -> None:
    history = _history()
    revisions = (Revision(1), Revision(2), Revision(3))
    assert not history.record_revisions(VmId('vm-1'), revisions, 11.0)
    assert history.missing_revisions(revisions) == (Revision(3),)


def test_grants_of_terminated_vms_expire_after_a_lease() -> None:
    history = _history()
    history.add_list(_vm_list(3, range(4, 9)), 20.0)
    assert len(history.quorums(SHARD, 20.0 + MAX_LEASE_S - 0.01)) == 3
    assert Revision(1) in history.revisions
    quorums = history.quorums(SHARD, 20.0 + MAX_LEASE_S)
    assert len(quorums) == 1 or len(quorums[0]) == 5


def test_old_list_learned_late_waits_for_its_terminated_vms() -> None:
    history = ListHistory()
    history.add_list(_vm_list(3, range(4, 9)), 0.0)
    history.add_list(_vm_list(1, range(1, 4)), 5.0)
    assert len(history.quorums(SHARD, 5.0)) == 2
    assert len(history.quorums(SHARD, 5.0 + MAX_LEASE_S)) == 1
