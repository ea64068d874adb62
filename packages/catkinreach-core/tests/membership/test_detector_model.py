"""Model test of failure detection over a lossy network.

Guards against dead members that are detected too late and against live or
resumed members that stay dead.

To run more examples with other seeds:
``CATKINREACH_MODEL_EXAMPLES=500 .venv/bin/pytest -k detector_model``.
"""

from __future__ import annotations

import os
import random

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from catkinreach_core.ids import Incarnation, VmId
from catkinreach_core.membership.detector import FailureDetector
from catkinreach_core.messages.membership import (
    IndirectAck,
    MemberStatus,
    MemberUpdate,
)

EXAMPLES = int(os.environ.get('CATKINREACH_MODEL_EXAMPLES', '0'))
STEP_S = 0.1
DETECTION_LIMIT_S = 3.0

_model = settings(
    max_examples=EXAMPLES or 25,
    deadline=None,
    derandomize=not EXAMPLES,
    database=None,
    phases=(Phase.generate,),
)


class Fleet:
    """Failure detectors whose messages arrive in the same step or are lost."""

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        """Starts a process on every VM."""
        self.random = random.Random(seed)
        self.loss = loss
        self.now_s = 10.0
        self.ids = [VmId(f'vm-{number}') for number in range(size)]
        self.nodes: dict[VmId, FailureDetector] = {}
        self.paused: set[VmId] = set()
        for vm_id in self.ids:
            self.start(vm_id)

    def start(self, vm_id: VmId) -> None:
        """Starts or restarts the process of a VM."""
        own = MemberUpdate(
            vm_id,
            Incarnation(f'{vm_id}/{self.now_s}'),
            int(self.now_s * 1000),
            0,
            MemberStatus.ALIVE,
            is_voting=True,
            is_leaving=False,
        )
        self.nodes[vm_id] = FailureDetector(own, self.random)
        self.nodes[vm_id].set_listed(self.ids)

    def run(self, duration_s: float) -> None:
        """Advances time in small steps."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for vm_id in tuple(self.nodes):
                if vm_id not in self.paused:
                    self.step(vm_id)

    def step(self, vm_id: VmId) -> None:
        """Runs a process for a step."""
        node = self.nodes[vm_id]
        plan = node.tick(self.now_s)
        for number, target in plan.pings:
            self.probe(vm_id, target, number)
        for number, target, helpers in plan.indirect:
            for helper in helpers:
                if self.arrives(helper) and self.probe(helper, target, 0):
                    incarnation = self.nodes[target].own.incarnation
                    node.receive_indirect_ack(
                        IndirectAck(
                            number=number,
                            target=target,
                            incarnation=incarnation,
                        ),
                        self.now_s,
                    )

    def probe(self, prober: VmId, target: VmId, number: int) -> bool:
        """Delivers a probe and its answer; returns whether both arrived."""
        if not self.arrives(target):
            return False
        sender, receiver = self.nodes[prober], self.nodes[target]
        answer = receiver.updates_for(prober)
        receiver.receive_heartbeat(sender.own, self.now_s)
        receiver.receive_updates(sender.updates_for(target), self.now_s)
        if not self.arrives(prober):
            return False
        sender.receive_ack(number, receiver.own, self.now_s)
        sender.receive_updates(answer, self.now_s)
        return True

    def arrives(self, target: VmId) -> bool:
        """Returns whether a message reaches its target, at random."""
        is_up = target in self.nodes and target not in self.paused
        return is_up and self.random.random() >= self.loss

    def nodes_seeing_alive(self, vm_id: VmId) -> list[VmId]:
        """Returns the running nodes that consider a member alive."""
        return [
            node_id
            for node_id, node in self.nodes.items()
            if node_id != vm_id
            and node_id not in self.paused
            and node.is_alive(vm_id)
        ]


@_model
@given(seed=st.integers(0, 2**32), size=st.integers(3, 12))
def test_dead_member_is_detected_in_time(seed: int, size: int) -> None:
    fleet = Fleet(size, seed)
    fleet.run(4.0)
    victim = fleet.ids[seed % size]
    assert len(fleet.nodes_seeing_alive(victim)) == size - 1
    del fleet.nodes[victim]
    fleet.run(DETECTION_LIMIT_S)
    assert fleet.nodes_seeing_alive(victim) == []


@_model
@given(seed=st.integers(0, 2**32), pause_s=st.sampled_from([2.0, 5.0, 30.0]))
def test_paused_process_is_alive_again_after_it_resumes(
    seed: int, pause_s: float
) -> None:
    fleet = Fleet(5, seed)
    fleet.run(4.0)
    victim = fleet.ids[seed % 5]
    fleet.paused.add(victim)
    fleet.run(pause_s)
    fleet.paused.clear()
    fleet.run(5.0)
    assert len(fleet.nodes_seeing_alive(victim)) == 4
    assert len(fleet.nodes[victim].alive) == 4


@_model
@given(seed=st.integers(0, 2**32))
def test_new_incarnation_replaces_dead_one(seed: int) -> None:
    fleet = Fleet(5, seed)
    fleet.run(4.0)
    victim = fleet.ids[seed % 5]
    del fleet.nodes[victim]
    fleet.run(seed % 5)
    fleet.start(victim)
    fleet.run(5.0)
    incarnation = fleet.nodes[victim].own.incarnation
    assert len(fleet.nodes_seeing_alive(victim)) == 4
    assert {
        node.incarnation_of(victim)
        for vm_id, node in fleet.nodes.items()
        if vm_id != victim
    } == {incarnation}


@_model
@given(seed=st.integers(0, 2**32))
def test_message_loss_alone_leaves_all_members_alive(seed: int) -> None:
    fleet = Fleet(6, seed, loss=0.05)
    for _ in range(20):
        fleet.run(1.0)
    fleet.loss = 0.0
    fleet.run(4.0)
    assert all(len(fleet.nodes_seeing_alive(vm_id)) == 5 for vm_id in fleet.ids)
