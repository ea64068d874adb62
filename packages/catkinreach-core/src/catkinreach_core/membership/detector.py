"""Failure detection by probes, indirect probes and suspicion.

Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style
process group membership protocol", DSN 2002. The group itself is given by
the published list of VMs; only liveness is detected here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..messages.membership import MemberStatus, MemberUpdate
from .timing import (
    DIRECT_TIMEOUT_S,
    DISSEMINATION_PROBES,
    INDIRECT_PROBES,
    INDIRECT_TIMEOUT_S,
    MAX_TICK_GAP_S,
    PROBE_PERIOD_S,
    SUSPICION_TIMEOUT_S,
)
from .update_buffer import UpdateBuffer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from ..ids import Incarnation, VmId
    from ..messages.membership import IndirectAck


@dataclass(slots=True)
class Member:
    """State of another member as this node knows it."""

    update: MemberUpdate
    changed_at_s: float
    last_seen_s: float


@dataclass(slots=True)
class _Probe:
    """A probe that has not been answered."""

    target: VmId
    direct_until_s: float
    suspect_at_s: float
    is_indirect: bool = False


@dataclass(slots=True)
class ProbePlan:
    """Probes to send after a tick.

    Attributes:
        pings: Number and target of each direct probe.
        indirect: Number and target of each indirect probe, with the members
            that are requested to send it.
    """

    pings: list[tuple[int, VmId]] = field(default_factory=list)
    indirect: list[tuple[int, VmId, tuple[VmId, ...]]] = field(
        default_factory=list
    )


class FailureDetector:
    """Tracks the liveness of the listed VMs by SWIM probes.

    It sends nothing itself: ``tick`` returns the probes that are due, and the
    caller passes the answers back in.
    """

    def __init__(
        self,
        own: MemberUpdate,
        rng: random.Random,
        on_restart: Callable[[VmId], None] = lambda _: None,
    ) -> None:
        """Starts with an empty list of VMs.

        Args:
            own: This node's own entry.
            rng: Source of the random probe order and choice of helpers.
            on_restart: Called with each member whose process restarted.
        """
        self._own = own
        self._rng = rng
        self._on_restart = on_restart
        self._listed: tuple[VmId, ...] = ()
        self._members: dict[VmId, Member] = {}
        self._probe_queue: list[VmId] = []
        self._probes: dict[int, _Probe] = {}
        self._probe_number = 0
        self._is_ring_next = False
        self._next_probe_s = 0.0
        self._last_tick_s = 0.0
        self._update_buffer = UpdateBuffer()

    @property
    def own(self) -> MemberUpdate:
        """Returns this node's own entry, as sent to others."""
        return self._own

    @property
    def alive(self) -> tuple[VmId, ...]:
        """Returns the listed members that are alive or suspected."""
        return tuple(vm_id for vm_id in self._listed if self.is_alive(vm_id))

    @property
    def statuses(self) -> dict[VmId, str]:
        """Returns the status of each listed member by name."""
        return {
            vm_id: self._members[vm_id].update.status.name.lower()
            if vm_id in self._members
            else 'unheard'
            for vm_id in self._listed
        }

    def is_alive(self, vm_id: VmId) -> bool:
        """Returns whether a member has been seen and is not dead."""
        member = self._members.get(vm_id)
        return (
            member is not None and member.update.status is not MemberStatus.DEAD
        )

    def is_voting(self, vm_id: VmId) -> bool:
        """Returns whether a member is alive and votes."""
        return self.is_alive(vm_id) and self._members[vm_id].update.is_voting

    def is_staying(self, vm_id: VmId) -> bool:
        """Returns whether a member is alive and not leaving."""
        if not self.is_alive(vm_id):
            return False
        return not self._members[vm_id].update.is_leaving

    def is_candidate(self, vm_id: VmId) -> bool:
        """Returns whether a member is alive, votes and is not leaving."""
        return self.is_voting(vm_id) and self.is_staying(vm_id)

    def set_listed(self, vm_ids: Iterable[VmId]) -> None:
        """Sets the listed VMs and drops members that are not listed."""
        self._listed = tuple(
            vm_id for vm_id in vm_ids if vm_id != self._own.vm_id
        )
        for removed in self._members.keys() - set(self._listed):
            del self._members[removed]
        self._probe_queue = [
            vm_id for vm_id in self._probe_queue if vm_id in self._listed
        ]

    def set_own_state(self, *, is_voting: bool, is_leaving: bool) -> None:
        """Changes the state that this node's own entry reports."""
        own = self._own
        if (own.is_voting, own.is_leaving) == (is_voting, is_leaving):
            return
        self._publish_own(
            own.refutation + 1, is_voting=is_voting, is_leaving=is_leaving
        )

    def updates_for(self, vm_id: VmId) -> tuple[MemberUpdate, ...]:
        """Returns the updates for a heartbeat to a member.

        If the member is suspected or dead here, its own entry is always
        included, so that it can refute the suspicion.
        """
        updates = self._update_buffer.take(len(self._listed) + 1)
        member = self._members.get(vm_id)
        if member is None or member.update.status is MemberStatus.ALIVE:
            return updates
        return (member.update, *updates)

    def tick(self, now_s: float) -> ProbePlan:
        """Advances time; returns the probes to send."""
        plan = ProbePlan()
        if now_s - self._last_tick_s > MAX_TICK_GAP_S:
            self._restart_timers(now_s)
        self._last_tick_s = now_s
        self._time_out_probes(now_s, plan)
        self._declare_dead(now_s, plan)
        if now_s >= self._next_probe_s and self._listed:
            self._next_probe_s = now_s + PROBE_PERIOD_S
            plan.pings.append(self._start_probe(self._next_target(), now_s))
        return plan

    def receive_ack(
        self, number: int, update: MemberUpdate, now_s: float
    ) -> None:
        """Handles a member's own answer to a probe."""
        self._probes.pop(number, None)
        self.receive_heartbeat(update, now_s)

    def receive_heartbeat(self, update: MemberUpdate, now_s: float) -> None:
        """Handles a member's own entry, which overrides others' reports."""
        if update.vm_id == self._own.vm_id:
            return
        known = self._members.get(update.vm_id)
        if known is not None and known.update.incarnation == update.incarnation:
            known.last_seen_s = now_s
            if _precedence(known.update) >= _precedence(update):
                return
        self._store_update(update, now_s)

    def receive_indirect_ack(self, ack: IndirectAck, now_s: float) -> None:
        """Handles the report of a helper that the target answered its probe."""
        self._probes.pop(ack.number, None)
        known = self._members.get(ack.target)
        if known is not None:
            known.last_seen_s = now_s

    def receive_updates(
        self, updates: Iterable[MemberUpdate], now_s: float
    ) -> None:
        """Handles the updates that a heartbeat carried."""
        for update in updates:
            if update.vm_id == self._own.vm_id:
                self._refute(update)
            elif self._is_newer(update):
                self._store_update(update, now_s)

    def incarnation_of(self, vm_id: VmId) -> Incarnation | None:
        """Returns the latest known incarnation of a member."""
        member = self._members.get(vm_id)
        return member.update.incarnation if member else None

    def _refute(self, update: MemberUpdate) -> None:
        own = self._own
        if update.incarnation != own.incarnation:
            return
        if update.status is MemberStatus.ALIVE:
            return
        if update.refutation >= own.refutation:
            self._publish_own(
                update.refutation + 1,
                is_voting=own.is_voting,
                is_leaving=own.is_leaving,
            )

    def _publish_own(
        self, refutation: int, *, is_voting: bool, is_leaving: bool
    ) -> None:
        own = self._own
        self._own = MemberUpdate(
            own.vm_id,
            own.incarnation,
            own.started_ms,
            refutation,
            MemberStatus.ALIVE,
            is_voting,
            is_leaving,
        )
        self._update_buffer.add(self._own)

    def _is_newer(self, update: MemberUpdate) -> bool:
        known = self._members.get(update.vm_id)
        if known is None:
            return update.vm_id in self._listed
        if known.update.incarnation != update.incarnation:
            return update.started_ms > known.update.started_ms
        return _precedence(update) > _precedence(known.update)

    def _store_update(self, update: MemberUpdate, now_s: float) -> None:
        if update.vm_id not in self._listed:
            return
        known = self._members.get(update.vm_id)
        if known and known.update.incarnation != update.incarnation:
            self._on_restart(update.vm_id)
        last_seen_s = known.last_seen_s if known else now_s
        self._members[update.vm_id] = Member(update, now_s, last_seen_s)
        self._update_buffer.add(update)

    def _next_target(self) -> VmId:
        """Alternates between the successor in the ring and a random order.

        The ring orders members by id. By it every member is probed in every
        second period, by its predecessor. The random order, as in SWIM, also
        detects several dead members that follow each other in the ring.
        """
        self._is_ring_next = not self._is_ring_next
        alive = self.alive
        if self._is_ring_next and alive:
            after = [vm_id for vm_id in alive if vm_id > self._own.vm_id]
            return min(after or alive)
        if not self._probe_queue:
            self._probe_queue = list(self._listed)
            self._rng.shuffle(self._probe_queue)
        return self._probe_queue.pop()

    def _start_probe(self, target: VmId, now_s: float) -> tuple[int, VmId]:
        self._probe_number += 1
        direct_until_s = now_s + DIRECT_TIMEOUT_S
        self._probes[self._probe_number] = _Probe(
            target, direct_until_s, direct_until_s + INDIRECT_TIMEOUT_S
        )
        return self._probe_number, target

    def _restart_timers(self, now_s: float) -> None:
        """Drops the probes that went unanswered while this node was paused."""
        self._probes.clear()
        for member in self._members.values():
            member.changed_at_s = now_s
            member.last_seen_s = now_s

    def _time_out_probes(self, now_s: float, plan: ProbePlan) -> None:
        for number, probe in tuple(self._probes.items()):
            if now_s >= probe.suspect_at_s:
                del self._probes[number]
                if self._suspect(probe.target, now_s):
                    plan.pings.append(self._start_probe(probe.target, now_s))
                    self._disseminate(now_s, plan)
            elif now_s >= probe.direct_until_s and not probe.is_indirect:
                probe.is_indirect = True
                helpers = [
                    vm_id for vm_id in self.alive if vm_id != probe.target
                ]
                count = min(INDIRECT_PROBES, len(helpers))
                chosen = tuple(self._rng.sample(helpers, count))
                plan.indirect.append((number, probe.target, chosen))

    def _suspect(self, vm_id: VmId, now_s: float) -> bool:
        member = self._members.get(vm_id)
        if member is None or member.update.status is not MemberStatus.ALIVE:
            return False
        if now_s - member.last_seen_s < DIRECT_TIMEOUT_S:
            return False
        self._store_update(
            _with_status(member.update, MemberStatus.SUSPECT), now_s
        )
        return True

    def _declare_dead(self, now_s: float, plan: ProbePlan) -> None:
        for member in tuple(self._members.values()):
            if (
                member.update.status is MemberStatus.SUSPECT
                and now_s >= member.changed_at_s + SUSPICION_TIMEOUT_S
            ):
                dead = _with_status(member.update, MemberStatus.DEAD)
                self._store_update(dead, now_s)
                self._disseminate(now_s, plan)

    def _disseminate(self, now_s: float, plan: ProbePlan) -> None:
        """Probes some members at once, so that they receive the new update."""
        alive = self.alive
        chosen = self._rng.sample(alive, min(DISSEMINATION_PROBES, len(alive)))
        plan.pings.extend(self._start_probe(vm_id, now_s) for vm_id in chosen)


def _precedence(update: MemberUpdate) -> tuple[int, int]:
    """Orders updates of an incarnation; a refutation overrides suspicions."""
    return (update.refutation, tuple(MemberStatus).index(update.status))


def _with_status(update: MemberUpdate, status: MemberStatus) -> MemberUpdate:
    return MemberUpdate(
        update.vm_id,
        update.incarnation,
        update.started_ms,
        update.refutation,
        status,
        update.is_voting,
        update.is_leaving,
    )


__all__ = ('FailureDetector', 'ProbePlan')
