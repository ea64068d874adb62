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
    from ..messages.membership import PingVouch


@dataclass(slots=True)
class Member:
    """What this node believes of another one."""

    update: MemberUpdate
    changed_at_s: float
    last_seen_s: float


@dataclass(slots=True)
class _Probe:
    """A probe without an answer yet."""

    target: VmId
    direct_until_s: float
    suspect_at_s: float
    is_indirect: bool = False


@dataclass(slots=True)
class ProbePlan:
    """What to send after a tick.

    Attributes:
        pings: Members to probe, with the number of the probe.
        indirect: Probe number, target and the members to ask.
    """

    pings: list[tuple[int, VmId]] = field(default_factory=list)
    indirect: list[tuple[int, VmId, tuple[VmId, ...]]] = field(
        default_factory=list
    )


class FailureDetector:
    """Liveness of the listed VMs as this node sees it."""

    def __init__(
        self,
        own: MemberUpdate,
        rng: random.Random,
        on_restart: Callable[[VmId], None] = lambda _: None,
    ) -> None:
        """Starts with nobody listed.

        Args:
            own: This node's member entry.
            rng: Order of probes.
            on_restart: Told of members whose process started anew.
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
        """Returns this node's own entry."""
        return self._own

    @property
    def alive(self) -> tuple[VmId, ...]:
        """Returns the listed members that are alive or only suspected."""
        return tuple(one for one in self._listed if self.is_alive(one))

    @property
    def statuses(self) -> dict[VmId, str]:
        """Returns the status of every listed member by name."""
        return {
            one: self._members[one].update.status.name.lower()
            if one in self._members
            else 'unheard'
            for one in self._listed
        }

    def is_alive(self, vm_id: VmId) -> bool:
        """Returns whether a member was heard of and is not dead."""
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
        """Takes the VMs of the newest list."""
        self._listed = tuple(one for one in vm_ids if one != self._own.vm_id)
        for gone in self._members.keys() - set(self._listed):
            del self._members[gone]
        self._probe_queue = [
            one for one in self._probe_queue if one in self._listed
        ]

    def set_own_state(self, *, is_voting: bool, is_leaving: bool) -> None:
        """Changes what this node says of itself."""
        own = self._own
        if (own.is_voting, own.is_leaving) == (is_voting, is_leaving):
            return
        self._publish_own(
            own.refutation + 1, is_voting=is_voting, is_leaving=is_leaving
        )

    def updates_for(self, vm_id: VmId) -> tuple[MemberUpdate, ...]:
        """Returns the updates for a heartbeat to a member.

        A suspicion of the member itself always rides along, so that it can
        refute it.
        """
        news = self._update_buffer.take(len(self._listed) + 1)
        member = self._members.get(vm_id)
        if member is None or member.update.status is MemberStatus.ALIVE:
            return news
        return (member.update, *news)

    def tick(self, now_s: float) -> ProbePlan:
        """Advances time; returns what to send."""
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
        """Takes a member's own answer to a probe."""
        self._probes.pop(number, None)
        self.receive_heartbeat(update, now_s)

    def receive_heartbeat(self, update: MemberUpdate, now_s: float) -> None:
        """Takes what a member says of itself; it overrides what others say."""
        if update.vm_id == self._own.vm_id:
            return
        known = self._members.get(update.vm_id)
        if known is not None and known.update.incarnation == update.incarnation:
            known.last_seen_s = now_s
            if _precedence(known.update) >= _precedence(update):
                return
        self._store_update(update, now_s)

    def receive_indirect_ack(self, vouch: PingVouch, now_s: float) -> None:
        """Takes another member's word that the target answered."""
        self._probes.pop(vouch.number, None)
        known = self._members.get(vouch.target)
        if known is not None:
            known.last_seen_s = now_s

    def receive_updates(
        self, news: Iterable[MemberUpdate], now_s: float
    ) -> None:
        """Takes news that a heartbeat carried."""
        for update in news:
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
        """Alternates between the ring's next member and a random order.

        The ring has every member probed in every second period; the random
        order of SWIM also finds several dead in a row.
        """
        self._is_ring_next = not self._is_ring_next
        alive = self.alive
        if self._is_ring_next and alive:
            after = [one for one in alive if one > self._own.vm_id]
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
        """Forgets probes that this node's own pause left unanswered."""
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
                helpers = [one for one in self.alive if one != probe.target]
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
        """Probes some members at once, so that they hear the news."""
        alive = self.alive
        chosen = self._rng.sample(alive, min(DISSEMINATION_PROBES, len(alive)))
        plan.pings.extend(self._start_probe(one, now_s) for one in chosen)


def _precedence(update: MemberUpdate) -> tuple[int, int]:
    """Orders news of one incarnation; a refutation beats every suspicion."""
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
