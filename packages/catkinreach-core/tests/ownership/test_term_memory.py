"""Tests that a rolling restart keeps the term of the predecessor known.

A restarted voter knows no terms until the next renewals reach it. If a second
voter leaves before that, the successor starts without its predecessor's state;
a rolling restart that waits for ``has_collected_terms`` avoids this.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import (
    FailureDomainId,
    Incarnation,
    Revision,
    ShardId,
    VmId,
)
from catkinreach_core.messages.leases import LeaseRequest
from catkinreach_core.ownership.leases import LeaseOwnership

if TYPE_CHECKING:
    from catkinreach_core.ownership.holder import OutgoingMessage

SHARD = ShardId('order/1')
FIRST, SECOND, THIRD = (VmId(f'vm-{number}') for number in (1, 2, 3))
STEP_S = 0.1
SETTLE_S = 8.0
TIMEOUT_S = 20.0


class _Fleet:
    """Three connected nodes; liveness is read from the nodes themselves."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.nodes: dict[VmId, LeaseOwnership] = {}
        self._start_count = 0
        for vm_id in (FIRST, SECOND, THIRD):
            self.start(vm_id)

    def is_voting(self, vm_id: VmId) -> bool:
        return vm_id in self.nodes and self.nodes[vm_id].is_voting

    def is_staying(self, vm_id: VmId) -> bool:
        return vm_id in self.nodes and not self.nodes[vm_id].is_leaving

    def is_candidate(self, vm_id: VmId) -> bool:
        return self.is_voting(vm_id) and self.is_staying(vm_id)

    def start(self, vm_id: VmId) -> None:
        self._start_count += 1
        node = LeaseOwnership(
            vm_id,
            Incarnation(f'incarnation-{self._start_count}'),
            self,
            started_at_s=self.now_s,
        )
        node.history.add_list(_vm_list(), self.now_s)
        node.set_shards((SHARD,))
        self.nodes[vm_id] = node

    def run(self, for_s: float) -> None:
        for _ in range(round(for_s / STEP_S)):
            self.now_s += STEP_S
            for vm_id in tuple(self.nodes):
                self._step(vm_id)

    def owner(self) -> VmId:
        return next(
            vm_id
            for vm_id, node in self.nodes.items()
            if node.tenure_of(SHARD, self.now_s)
        )

    def leave(self, vm_id: VmId) -> None:
        self.nodes[vm_id].begin_leaving()
        self.deliver(vm_id, self.nodes[vm_id].release_all(self.now_s))
        del self.nodes[vm_id]

    def deliver(self, sender: VmId, outgoing: list[OutgoingMessage]) -> None:
        for item in outgoing:
            peer = self.nodes.get(item.target)
            if peer is None:
                continue
            if isinstance(item.message, LeaseRequest):
                reply = peer.handle_request(sender, item.message, self.now_s)
                self.nodes[sender].receive_reply(item.target, reply, self.now_s)
            else:
                peer.receive_release(sender, item.message, self.now_s)

    def _step(self, vm_id: VmId) -> None:
        node = self.nodes[vm_id]
        wall_ms = int(self.now_s * 1000)
        self.deliver(vm_id, node.tick(self.now_s, wall_ms))
        for other, peer in self.nodes.items():
            if other != vm_id:
                peer.receive_heartbeat(
                    vm_id,
                    node.history.revisions,
                    self.now_s,
                    is_voting=node.is_voting,
                )


def _vm_list() -> VmList:
    return VmList(
        revision=Revision(1),
        vms=tuple(
            VmEntry(
                id=vm_id,
                peer_address='127.0.0.1:1',
                failure_domain=FailureDomainId('a'),
            )
            for vm_id in (FIRST, SECOND, THIRD)
        ),
    )


def test_successor_after_a_restart_knows_its_predecessor_term() -> None:
    fleet = _Fleet()
    fleet.run(SETTLE_S)
    owner = fleet.owner()
    restarted = next(vm_id for vm_id in fleet.nodes if vm_id != owner)
    tenure_before = fleet.nodes[owner].tenure_of(SHARD, fleet.now_s)
    assert tenure_before is not None

    del fleet.nodes[restarted]
    fleet.run(STEP_S)
    fleet.start(restarted)
    until_s = fleet.now_s + TIMEOUT_S
    while not fleet.nodes[restarted].has_collected_terms:
        assert fleet.now_s < until_s
        fleet.run(STEP_S)
    fleet.leave(owner)
    fleet.run(SETTLE_S)

    tenure = fleet.nodes[fleet.owner()].tenure_of(SHARD, fleet.now_s)
    assert tenure is not None
    assert tenure.predecessor_term == tenure_before.term
