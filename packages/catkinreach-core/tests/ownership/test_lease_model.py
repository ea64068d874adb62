"""Model test of leases: a shard never has two owners under network faults.

The network loses, delays, duplicates and reorders messages and is partitioned;
processes pause and restart, clocks drift and VM lists change.

To run more examples with other seeds:
``CATKINREACH_MODEL_EXAMPLES=2000 .venv/bin/pytest -k lease_model``.
"""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, field
from typing import Any

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import (
    FailureDomainId,
    Incarnation,
    Revision,
    ShardId,
    VmId,
)
from catkinreach_core.messages.leases import (
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
)
from catkinreach_core.ownership.checker import check_events
from catkinreach_core.ownership.events import LeaseEvent
from catkinreach_core.ownership.leases import LeaseOwnership
from catkinreach_core.ownership.timing import CLOCK_RATE_MARGIN

EXAMPLES = int(os.environ.get('CATKINREACH_MODEL_EXAMPLES', '0'))
SHARDS = (ShardId('limit/1'), ShardId('order/2'))
STEP_S = 0.1


@dataclass
class LivenessView:
    """Liveness of the other nodes as seen by a node, right or wrong."""

    candidates: set[VmId] = field(default_factory=set)

    def is_voting(self, vm_id: VmId) -> bool:
        """Returns True for every VM."""
        return bool(vm_id)

    def is_staying(self, vm_id: VmId) -> bool:
        """Returns whether the node considers a VM a candidate."""
        return vm_id in self.candidates

    def is_candidate(self, vm_id: VmId) -> bool:
        """Returns whether the node considers a VM a candidate."""
        return vm_id in self.candidates


@dataclass
class Heartbeat:
    """Message with the VM lists that a node knows."""

    lists: tuple[VmList, ...]
    is_voting: bool


@dataclass
class Vm:
    """A VM whose clock runs at its own rate."""

    vm_id: VmId
    rate: float
    ownership: LeaseOwnership
    liveness: LivenessView
    is_paused: bool = False
    inbox: list[tuple[VmId, Any]] = field(default_factory=list)


class LeaseModel(RuleBasedStateMachine):
    """Nodes, a faulty network and a configuration service."""

    @initialize(seed=st.integers(0, 2**32), size=st.integers(3, 6))
    def start(self, seed: int, size: int) -> None:
        """Starts a fleet in which every node knows the first list."""
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.vms: dict[VmId, Vm] = {}
        self.count = 0
        self.revision = 0
        self.in_flight: list[tuple[float, VmId, VmId, Any]] = []
        self.cut_links: set[tuple[VmId, VmId]] = set()
        self.without_newest_list: set[VmId] = set()
        self.loss = 0.0
        self.delay_s = 0.05
        self.events: list[LeaseEvent] = []
        self.publish([self.create() for _ in range(size)])
        for vm in self.vms.values():
            vm.ownership.history.add_list(self.list, self.local_s(vm))
        self.run(4.0)

    def create(self, vm_id: VmId | None = None) -> VmId:
        """Starts a process on a new VM or restarts it on a known VM."""
        if vm_id is None:
            self.count += 1
            vm_id = VmId(f'vm-{self.count}')
        rate = 1 + self.random.uniform(-0.4, 0.4) * CLOCK_RATE_MARGIN
        liveness = LivenessView()
        incarnation = Incarnation(f'{vm_id}/{self.random.random()}')
        ownership = LeaseOwnership(
            vm_id, incarnation, liveness, started_at_s=self.now_s * rate
        )
        ownership.set_shards(SHARDS)
        ownership.on_event(
            lambda event: self.events.append(_in_real_time(event, rate))
        )
        self.vms[vm_id] = Vm(vm_id, rate, ownership, liveness)
        return vm_id

    def publish(self, vm_ids: list[VmId]) -> None:
        """Publishes the next list."""
        self.revision += 1
        self.list = VmList(
            revision=Revision(self.revision),
            vms=tuple(
                VmEntry(
                    id=vm_id,
                    peer_address='127.0.0.1:1',
                    failure_domain=FailureDomainId('a'),
                )
                for vm_id in vm_ids
            ),
        )

    def local_s(self, vm: Vm) -> float:
        """Returns a VM's monotonic clock."""
        return self.now_s * vm.rate

    @rule(duration_s=st.sampled_from([0.1, 0.3, 1.0, 3.5, 8.0]))
    def run(self, duration_s: float) -> None:
        """Advances time in small steps."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            for vm in tuple(self.vms.values()):
                if not vm.is_paused:
                    self.step(vm)
            self.deliver()
            self.has_one_owner()

    def step(self, vm: Vm) -> None:
        """Runs a process for a step."""
        now_s = self.local_s(vm)
        for sender, message in vm.inbox:
            self.receive(vm, sender, message, now_s)
        vm.inbox.clear()
        wall_ms = int(self.now_s * 1000) + hash(vm.vm_id) % 50
        for item in vm.ownership.tick(now_s, wall_ms):
            self.send(vm.vm_id, item.target, item.message)
        if (
            vm.vm_id not in self.without_newest_list
            and self.random.random() < 0.1
        ):
            vm.ownership.history.add_list(self.list, now_s)
        history = vm.ownership.history
        heartbeat = Heartbeat(
            history.lists(history.revisions), vm.ownership.is_voting
        )
        self.send(vm.vm_id, self.random.choice(tuple(self.vms)), heartbeat)

    def receive(self, vm: Vm, sender: VmId, message: Any, now_s: float) -> None:
        """Delivers a message to a process."""
        ownership = vm.ownership
        if isinstance(message, LeaseRequest):
            reply = ownership.handle_request(sender, message, now_s)
            self.send(vm.vm_id, sender, reply)
        elif isinstance(message, LeaseReply):
            ownership.receive_reply(sender, message, now_s)
        elif isinstance(message, LeaseRelease):
            ownership.receive_release(sender, message, now_s)
        else:
            for vm_list in message.lists:
                ownership.history.add_list(vm_list, now_s)
            revisions = tuple(known.revision for known in message.lists)
            ownership.receive_heartbeat(
                sender, revisions, now_s, is_voting=message.is_voting
            )

    def send(self, sender: VmId, target: VmId, message: Any) -> None:
        """Sends a message, which may be lost, delayed or duplicated."""
        copies = 2 if self.random.random() < 0.05 else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                at_s = self.now_s + self.random.uniform(0, self.delay_s)
                self.in_flight.append((at_s, sender, target, message))

    def deliver(self) -> None:
        """Delivers the messages that are due, in random order."""
        due = [item for item in self.in_flight if item[0] <= self.now_s]
        self.in_flight = [
            item for item in self.in_flight if item[0] > self.now_s
        ]
        self.random.shuffle(due)
        for _, sender, target, message in due:
            if target in self.vms and (sender, target) not in self.cut_links:
                self.vms[target].inbox.append((sender, message))

    @rule(loss=st.sampled_from([0.0, 0.0, 0.2, 0.6]))
    def set_loss(self, loss: float) -> None:
        """Sets the rate of message loss."""
        self.loss = loss

    @rule(delay_s=st.sampled_from([0.05, 0.05, 0.5, 4.0]))
    def set_delay(self, delay_s: float) -> None:
        """Sets the largest message delay."""
        self.delay_s = delay_s

    @rule(side=st.integers(0, 2**9), is_one_way=st.booleans())
    def partition(self, side: int, *, is_one_way: bool) -> None:
        """Partitions the fleet in two, in one direction or both."""
        left = {
            vm_id for number, vm_id in enumerate(self.vms) if side >> number & 1
        }
        self.cut_links = {
            (sender, target)
            for sender in self.vms
            for target in self.vms
            if (sender in left) != (target in left)
            and not (is_one_way and sender in left)
        }

    @rule()
    def heal(self) -> None:
        """Ends every partition, loss and delay."""
        self.cut_links = set()
        self.without_newest_list = set()
        self.loss = 0.0
        self.delay_s = 0.05

    @rule(
        change=st.sampled_from(['replace', 'replace two', 'grow', 'grow two']),
        duration_s=st.sampled_from([1.0, 4.0, 9.0]),
    )
    def change_list_during_partition(
        self, change: str, duration_s: float
    ) -> None:
        """Changes the list while only one side of a partition can learn it."""
        before = tuple(self.vms)
        {
            'replace': lambda: self.replace(1),
            'replace two': lambda: self.replace(2),
            'grow': lambda: self.grow(1),
            'grow two': lambda: self.grow(2),
        }[change]()
        stayed = [vm_id for vm_id in before if vm_id in self.vms]
        self.without_newest_list = set(
            self.random.sample(stayed, self.random.randint(1, len(stayed)))
        )
        self.cut_links = {
            (sender, target)
            for sender in self.vms
            for target in self.vms
            if (sender in self.without_newest_list)
            != (target in self.without_newest_list)
        }
        self.run(duration_s)

    @rule(number=st.integers(0, 8))
    def pause(self, number: int) -> None:
        """Pauses or resumes a process."""
        vm = tuple(self.vms.values())[number % len(self.vms)]
        vm.is_paused = not vm.is_paused

    @rule(number=st.integers(0, 8))
    def restart(self, number: int) -> None:
        """Restarts the process of a VM."""
        self.create(tuple(self.vms)[number % len(self.vms)])

    @rule(mask=st.integers(0, 2**9))
    def change_liveness_views(self, mask: int) -> None:
        """Changes which VMs each node considers candidates."""
        ids = tuple(self.vms)
        for vm in self.vms.values():
            chosen = self.random.getrandbits(9) & mask
            vm.liveness.candidates = {
                vm_id
                for number, vm_id in enumerate(ids)
                if chosen >> number & 1
            }

    @rule(count=st.integers(1, 2))
    def replace(self, count: int) -> None:
        """Replaces some VMs: terminates them, then publishes a new list."""
        gone = self.random.sample(tuple(self.vms), count)
        for vm_id in gone:
            del self.vms[vm_id]
        self.publish([*self.vms, *(self.create() for _ in gone)])

    @rule()
    def replace_all(self) -> None:
        """Terminates and replaces every VM at once."""
        count = len(self.vms)
        self.vms.clear()
        self.publish([self.create() for _ in range(count)])

    @rule(count=st.integers(1, 2))
    def grow(self, count: int) -> None:
        """Adds new VMs to the list."""
        if len(self.vms) < 8:
            for _ in range(count):
                self.create()
            self.publish(list(self.vms))

    @rule()
    def shrink(self) -> None:
        """Terminates a VM and removes it from the list."""
        if len(self.vms) > 3:
            del self.vms[self.random.choice(tuple(self.vms))]
            self.publish(list(self.vms))

    @invariant()
    def has_one_owner(self) -> None:
        """Checks that no shard has two nodes that may act as owner."""
        for shard in SHARDS:
            owners = [
                vm.vm_id
                for vm in getattr(self, 'vms', {}).values()
                if vm.ownership.tenure_of(shard, self.local_s(vm))
            ]
            assert len(owners) <= 1, (shard, owners)

    def describe(self, shard: ShardId) -> str:
        """Returns the state that explains why a shard has no owner."""
        return '; '.join(
            f'{vm.vm_id} votes {vm.ownership.is_voting}, knows'
            f' {vm.ownership.history.revisions}, quorums'
            f' {vm.ownership.history.quorums(shard, self.local_s(vm))}, prefers'
            f' {vm.ownership.candidate_of(shard)}'
            for vm in self.vms.values()
        )

    def teardown(self) -> None:
        """Checks that each shard has an owner after all faults have ended."""
        if not hasattr(self, 'events'):
            return
        self.heal()
        for vm in self.vms.values():
            vm.is_paused = False
            vm.liveness.candidates = set(self.vms)
        self.run(12.0)
        for shard in SHARDS:
            assert any(
                vm.ownership.tenure_of(shard, self.local_s(vm))
                for vm in self.vms.values()
            ), f'no owner of {shard}: ' + self.describe(shard)
        assert check_events(self.events) == ()


def _in_real_time(event: LeaseEvent, rate: float) -> LeaseEvent:
    return LeaseEvent(
        kind=event.kind,
        shard=event.shard,
        vm_id=event.vm_id,
        incarnation=event.incarnation,
        term=event.term,
        at_s=event.at_s / rate,
        wall_ms=event.wall_ms,
        until_s=event.until_s / rate,
    )


LeaseModel.TestCase.settings = settings(
    max_examples=EXAMPLES or 40,
    stateful_step_count=60,
    deadline=None,
    derandomize=not EXAMPLES,
    database=None,
    phases=(Phase.generate,),
)
TestLeaseModel = LeaseModel.TestCase
