"""Changes of the VM list and restarts, some during a network partition.

Each case would give a shard two owners, or its successor a wrong predecessor,
if the protocol lacked a rule.
"""

from __future__ import annotations

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

SHARD = ShardId('limit/1')
STEP_S = 0.1


class _IsolatedView:
    """Considers no other node a candidate, so that every node competes."""

    def is_voting(self, vm_id: VmId) -> bool:
        return bool(vm_id)

    def is_staying(self, vm_id: VmId) -> bool:
        return not vm_id

    def is_candidate(self, vm_id: VmId) -> bool:
        return not vm_id


class _Fleet:
    """Nodes that exchange messages only within their group."""

    def __init__(self, size: int) -> None:
        self.now_s = 0.0
        self.nodes: dict[int, LeaseOwnership] = {}
        for number in range(1, size + 1):
            self.add(number)

    def add(self, number: int) -> None:
        self.nodes[number] = LeaseOwnership(
            _vm(number),
            Incarnation(f'incarnation-{number}'),
            _IsolatedView(),
            started_at_s=self.now_s,
        )
        self.nodes[number].set_shards((SHARD,))

    def add_list(self, vm_list: VmList, *numbers: int) -> None:
        for number in numbers:
            self.nodes[number].history.add_list(vm_list, self.now_s)

    def run(
        self, *groups: tuple[int, ...], for_s: float, has_gossip: bool = True
    ) -> None:
        for _ in range(round(for_s / STEP_S)):
            self.now_s += STEP_S
            for group in groups:
                for number in group:
                    self._step(number, group, has_gossip=has_gossip)
            assert len(self.owners()) <= 1, self.owners()

    def owners(self) -> list[int]:
        return [
            number
            for number, node in self.nodes.items()
            if node.tenure_of(SHARD, self.now_s)
        ]

    def _step(
        self, number: int, group: tuple[int, ...], *, has_gossip: bool
    ) -> None:
        node = self.nodes[number]
        for item in node.tick(self.now_s, int(self.now_s * 1000) + number):
            target = int(item.target.removeprefix('vm-'))
            if target not in group:
                continue
            peer = self.nodes[target]
            if isinstance(item.message, LeaseRequest):
                reply = peer.handle_request(
                    _vm(number), item.message, self.now_s
                )
                node.receive_reply(_vm(target), reply, self.now_s)
            else:
                peer.receive_release(_vm(number), item.message, self.now_s)
        for other in group if has_gossip else ():
            self._gossip(number, other)

    def _gossip(self, number: int, other: int) -> None:
        node, peer = self.nodes[number], self.nodes[other]
        revisions = node.history.revisions
        for vm_list in node.history.lists(revisions):
            peer.history.add_list(vm_list, self.now_s)
        peer.receive_heartbeat(
            _vm(number), revisions, self.now_s, is_voting=node.is_voting
        )


def _vm(number: int) -> VmId:
    return VmId(f'vm-{number}')


def _vm_list(revision: int, *numbers: int) -> VmList:
    return VmList(
        revision=Revision(revision),
        vms=tuple(
            VmEntry(
                id=_vm(number),
                peer_address='127.0.0.1:1',
                failure_domain=FailureDomainId('a'),
            )
            for number in numbers
        ),
    )


def _settled_fleet() -> tuple[_Fleet, int, int, int]:
    """Returns a fleet of three nodes, its owner and the other two.

    In a partition the first of the two is on the owner's side.
    """
    fleet = _Fleet(3)
    fleet.add_list(_vm_list(1, 1, 2, 3), 1, 2, 3)
    fleet.run((1, 2, 3), for_s=6)
    (owner,) = fleet.owners()
    others = [number for number in (1, 2, 3) if number != owner]
    return fleet, owner, others[0], others[1]


def test_majority_of_a_grown_list_alone_does_not_own() -> None:
    fleet, owner, near, far = _settled_fleet()
    fleet.add(4)
    fleet.add(5)
    fleet.add_list(_vm_list(2, 1, 2, 3, 4, 5), far, 4, 5)
    fleet.run((owner, near), (far, 4, 5), for_s=12)
    assert fleet.owners() == [owner]
    fleet.run((1, 2, 3, 4, 5), for_s=10)
    assert len(fleet.owners()) == 1


def test_majority_of_new_processes_alone_does_not_own() -> None:
    fleet, owner, near, far = _settled_fleet()
    for number in (4, 5, 6, 7):
        fleet.add(number)
    fleet.add_list(_vm_list(3, 1, 2, 3, 4, 5, 6, 7), 4, 5, 6, 7)
    fleet.run((owner, near, far), (4, 5, 6, 7), for_s=12)
    assert fleet.owners() == [owner]


def test_voter_of_a_newer_list_refuses_under_the_old_one() -> None:
    fleet, owner, near, far = _settled_fleet()
    fleet.add(4)
    fleet.add(5)
    fleet.add_list(_vm_list(2, 1, 2, 3, 4, 5), near, far, 4, 5)
    fleet.run((near, far, 4, 5), for_s=12)
    fleet.run((owner, near), (far, 4, 5), for_s=12, has_gossip=False)
    assert owner not in fleet.owners()


def test_fleet_replaced_at_once_owns_after_a_lease() -> None:
    fleet, *_ = _settled_fleet()
    fleet.nodes.clear()
    for number in (4, 5, 6):
        fleet.add(number)
    fleet.add_list(_vm_list(2, 4, 5, 6), 4, 5, 6)
    fleet.run((4, 5, 6), for_s=6)
    assert len(fleet.owners()) == 1


def test_restarted_voter_does_not_vote_within_a_lease() -> None:
    fleet, owner, near, far = _settled_fleet()
    fleet.add(near)
    fleet.add_list(_vm_list(1, 1, 2, 3), near)
    fleet.run((near, far), for_s=2.5)
    assert fleet.owners() in ([owner], [])


def _term_of(fleet: _Fleet, number: int) -> tuple[int, int]:
    tenure = fleet.nodes[number].tenure_of(SHARD, fleet.now_s)
    assert tenure is not None
    return tenure.term, tenure.predecessor_term


def test_successor_of_a_leaving_owner_knows_its_term() -> None:
    fleet, owner, near, far = _settled_fleet()
    term, _ = _term_of(fleet, owner)
    leaver = fleet.nodes[owner]
    for item in leaver.release_all(fleet.now_s):
        voter = fleet.nodes[int(item.target.removeprefix('vm-'))]
        assert not isinstance(item.message, LeaseRequest)
        voter.receive_release(_vm(owner), item.message, fleet.now_s)
    fleet.run((owner, near, far), for_s=2)
    (successor,) = fleet.owners()
    assert successor != owner
    assert _term_of(fleet, successor)[1] == term


def test_no_predecessor_without_a_majority_that_knows_its_term() -> None:
    fleet, owner, near, far = _settled_fleet()
    for number in (owner, near):
        fleet.add(number)
        fleet.add_list(_vm_list(1, 1, 2, 3), number)
    fleet.run((owner, near, far), for_s=8)
    (successor,) = fleet.owners()
    assert _term_of(fleet, successor)[1] == 0


def test_request_that_arrives_after_the_release_grants_nothing() -> None:
    fleet, owner, near, _ = _settled_fleet()
    term, _ = _term_of(fleet, owner)
    late = LeaseRequest(
        number=99,
        incarnation=Incarnation(f'incarnation-{owner}'),
        lists=(Revision(1),),
        terms={SHARD: term},
        is_renewal=True,
    )
    voter = fleet.nodes[near]
    for item in fleet.nodes[owner].release_all(fleet.now_s):
        assert not isinstance(item.message, LeaseRequest)
        if item.target == _vm(near):
            voter.receive_release(_vm(owner), item.message, fleet.now_s)
    reply = voter.handle_request(_vm(owner), late, fleet.now_s)
    assert reply.refused == {SHARD: term}
    assert voter.owner_of(SHARD) != _vm(owner)


def test_competing_node_eventually_grants_to_the_owner() -> None:
    """The owner needs the vote of that node when the list grows."""
    fleet, owner, near, far = _settled_fleet()
    voter = fleet.nodes[far]
    fleet.run((owner, near), (far,), for_s=6)
    fleet.run((owner, near, far), for_s=5)
    assert fleet.owners() == [owner]
    assert voter.owner_of(SHARD) == _vm(owner)
