"""Tests of which node reads the configuration service for the fleet."""

from __future__ import annotations

from catkinreach_core.ids import VmId
from catkinreach_core.relay.read_policy import ReadPolicy

IDS = tuple(VmId(f'vm-{number}') for number in range(9))
STEP_S = 0.1


class Fleet:
    """Nodes that report their reads to each other every half second."""

    def __init__(self) -> None:
        """Starts nine nodes."""
        self.policies = {vm_id: ReadPolicy(vm_id) for vm_id in IDS}
        self.unreachable: set[VmId] = set()
        self.down: set[VmId] = set()
        self.now_s = 0.0
        self.reads = 0
        self.read_at_s: list[float] = []

    def run(self, duration_s: float) -> None:
        """Advances the clock in steps of ``STEP_S``."""
        for step in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for vm_id in IDS:
                if vm_id not in self.down:
                    self.step(vm_id)
            if step % 5 == 0:
                self.gossip()

    def step(self, vm_id: VmId) -> None:
        """Reads on behalf of one node if its read is due."""
        policy = self.policies[vm_id]
        alive = tuple(
            peer for peer in IDS if peer != vm_id and peer not in self.down
        )
        if policy.is_config_due(alive, self.now_s):
            self.reads += 1
            if vm_id in self.unreachable:
                policy.record_failure(self.now_s)
            else:
                policy.record_config_read(self.now_s)
                self.read_at_s.append(self.now_s)
        elif policy.is_vm_list_due(alive, self.now_s):
            self.reads += 1
            policy.record_vm_list_read(self.now_s)

    def gossip(self) -> None:
        """Reports the reads of all nodes to every node."""
        ages = {
            vm_id: policy.age_s(self.now_s)
            for vm_id, policy in self.policies.items()
        }
        for vm_id, policy in self.policies.items():
            for peer in IDS:
                if peer != vm_id and peer not in self.down:
                    policy.record_peer_read(
                        peer,
                        ages[peer],
                        self.now_s,
                        is_reader=self.policies[peer].is_reader,
                    )


def test_steady_fleet_reads_less_than_once_a_second() -> None:
    fleet = Fleet()
    fleet.run(10.0)
    fleet.reads = 0
    fleet.run(100.0)
    assert fleet.reads < 100


def test_reads_continue_after_the_reader_fails() -> None:
    fleet = Fleet()
    fleet.run(10.0)
    reader = max(
        IDS, key=lambda vm_id: fleet.policies[vm_id]._config_read_at_s or 0.0
    )
    fleet.down.add(reader)
    fleet.read_at_s.clear()
    start_s = fleet.now_s
    fleet.run(6.0)
    assert fleet.read_at_s
    assert fleet.read_at_s[0] - start_s <= 5.0


def test_only_node_that_reaches_the_service_reads_for_all() -> None:
    for chosen in IDS:
        fleet = Fleet()
        fleet.unreachable = set(IDS) - {chosen}
        fleet.run(20.0)
        fleet.read_at_s.clear()
        fleet.run(14.0)
        assert len(fleet.read_at_s) >= 9
