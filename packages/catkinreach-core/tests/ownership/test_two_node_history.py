"""Tests a fleet of two VMs after one of them was replaced.

With the other VM terminated, the old list is retired only if the survivor
counts itself among the VMs that know the newer list.
"""

from __future__ import annotations

from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import FailureDomainId, Revision, ShardId, VmId
from catkinreach_core.ownership.history import ListHistory
from catkinreach_core.ownership.timing import MAX_LEASE_S

SHARD = ShardId('limit/0')


def _list(revision: int, *ids: str) -> VmList:
    return VmList(
        revision=Revision(revision),
        vms=tuple(
            VmEntry(
                id=VmId(vm_id),
                peer_address='127.0.0.1:1',
                failure_domain=FailureDomainId('a'),
            )
            for vm_id in ids
        ),
    )


def test_survivor_counts_itself_among_vms_that_abandoned_a_list() -> None:
    history = ListHistory()
    history.add_list(_list(1, 'vm-1', 'vm-2'), 0)
    history.add_list(_list(2, 'vm-1', 'vm-3'), 10)
    history.record_revisions(VmId('vm-1'), history.revisions, 10)
    assert len(history.quorums(SHARD, 10 + MAX_LEASE_S / 2)) == 2
    (quorum,) = history.quorums(SHARD, 10 + MAX_LEASE_S)
    assert set(quorum) == {'vm-1', 'vm-3'}
