"""State of a node's membership, shard ownership and configuration relay."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from catkinreach_core.ids import Revision
from catkinreach_core.membership.detector import FailureDetector
from catkinreach_core.messages.membership import (
    HeartbeatState,
    MemberStatus,
    MemberUpdate,
)
from catkinreach_core.ownership.leases import LeaseOwnership
from catkinreach_core.ownership.shards import shards_of
from catkinreach_core.relay.read_policy import ReadPolicy

if TYPE_CHECKING:
    from catkinreach_core.ids import Incarnation, VmId

    from ..config.state import FleetState

_MS_PER_S = 1000


class FleetCore:
    """Updates the fleet state from heartbeats and builds heartbeats from it."""

    def __init__(
        self,
        vm_id: VmId,
        incarnation: Incarnation,
        state: FleetState,
        *,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Sets up the state of a process that has just started."""
        own = MemberUpdate(
            vm_id,
            incarnation,
            int(wall_s * _MS_PER_S),
            0,
            MemberStatus.ALIVE,
            is_voting=False,
            is_leaving=False,
        )
        self._state = state
        self.vm_id = vm_id
        self.incarnation = incarnation
        self._rng = random.Random(incarnation)
        self.detector = FailureDetector(own, self._rng, self._on_restart)
        self.ownership = LeaseOwnership(
            vm_id, incarnation, self.detector, started_at_s=now_s
        )
        self.read_policy = ReadPolicy(vm_id)
        self._peer_config_revisions: dict[VmId, Revision] = {}

    @property
    def peers_with_newer_config(self) -> tuple[VmId, ...]:
        """Returns the peers that hold a newer text than this node."""
        received_revision = self._state.received_revision
        return tuple(
            vm_id
            for vm_id, revision in self._peer_config_revisions.items()
            if revision > received_revision
        )

    @property
    def is_connected(self) -> bool:
        """Returns whether a majority of the listed VMs is reachable."""
        listed = len(self._state.vms.vms)
        return not listed or 2 * (len(self.detector.alive) + 1) > listed

    def apply_state(self, now_s: float) -> None:
        """Applies the newest VM list and settings."""
        vms = self._state.vms
        self.ownership.history.add_list(vms, now_s)
        self.detector.set_listed(vms.ids)
        if self._state.has_settings:
            self.ownership.set_shards(shards_of(self._state.settings))

    def build_heartbeat(self, now_s: float) -> HeartbeatState:
        """Returns the state that the next heartbeat reports."""
        self.detector.set_own_state(
            is_voting=self.ownership.is_voting,
            is_leaving=self.ownership.is_leaving,
        )
        age_s = self.read_policy.age_s(now_s)
        return HeartbeatState(
            member=self.detector.own,
            lists=self.ownership.history.revisions,
            config=self._state.received_revision,
            read_age_ms=-1 if age_s is None else int(age_s * _MS_PER_S),
            is_reader=self.read_policy.is_reader,
        )

    def apply_heartbeat(
        self, sender: VmId, heartbeat: HeartbeatState, now_s: float
    ) -> None:
        """Applies the state that a peer's heartbeat reports."""
        self.ownership.receive_heartbeat(
            sender,
            heartbeat.lists,
            now_s,
            is_voting=heartbeat.member.is_voting,
        )
        self.set_peer_config_revision(sender, heartbeat.config)
        age_ms = heartbeat.read_age_ms
        self.read_policy.record_peer_read(
            sender,
            None if age_ms < 0 else age_ms / _MS_PER_S,
            now_s,
            is_reader=heartbeat.is_reader,
        )

    def set_peer_config_revision(self, peer: VmId, revision: Revision) -> None:
        """Records the revision of the text that a peer holds."""
        self._peer_config_revisions[peer] = revision

    def peer_config_revision(self, peer: VmId) -> Revision:
        """Returns the newest known revision that a peer holds, 0 if unknown."""
        return self._peer_config_revisions.get(peer, Revision(0))

    def forget_peer_config_revision(self, peer: VmId) -> None:
        """Drops the revision of a peer until it reports it again."""
        self._peer_config_revisions.pop(peer, None)

    def sample_alive(self, count: int) -> list[VmId]:
        """Returns a random sample of the peers that are alive."""
        alive = self.detector.alive
        return self._rng.sample(alive, min(count, len(alive)))

    def _on_restart(self, vm_id: VmId) -> None:
        self.ownership.forget_peer(vm_id)
        self._peer_config_revisions.pop(vm_id, None)


__all__ = ('FleetCore',)
