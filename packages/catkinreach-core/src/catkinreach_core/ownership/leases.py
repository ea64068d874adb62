"""Ownership by leases: joins the voter and the lease holder of a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from ..messages.leases import LeaseReply, LeaseRequest
from .events import LeaseEvent, LeaseEventKind
from .history import ListHistory, majority
from .holder import LeaseHolder, OutgoingMessage
from .tenure import OwnershipView, Tenure
from .timing import MAX_LEASE_S, MAX_TICK_GAP_S, TERM_COLLECTION_S
from .voter import LeaseVoter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import Incarnation, Revision, ShardId, VmId
    from ..messages.leases import LeaseRelease

MAX_UNSEEN_VMS: Final = 1
"""Number of listed VMs without a heartbeat despite which a fleet of new
processes may start voting."""

START_GRACE_S: Final = 1.5
"""Time in which a new voter leaves shards to better-ranked VMs that do not vote
yet, so that shards are spread evenly when a whole fleet starts at once."""

_ENDING_KINDS: Final = frozenset((LeaseEventKind.LOST, LeaseEventKind.RELEASED))


class Liveness(Protocol):
    """Interface through which ownership reads the liveness of VMs."""

    def is_voting(self, vm_id: VmId) -> bool:
        """Returns whether a VM is alive and votes."""

    def is_staying(self, vm_id: VmId) -> bool:
        """Returns whether a VM is alive and not leaving."""

    def is_candidate(self, vm_id: VmId) -> bool:
        """Returns whether a VM is alive, votes and is not leaving."""


@dataclass(frozen=True, slots=True)
class TenureListener:
    """Callbacks for the tenures of shards whose name has a prefix."""

    shard_prefix: str
    started: Callable[[Tenure], None]
    ended: Callable[[Tenure], None]


class LeaseOwnership(OwnershipView):
    """Decides which shards this node acquires, renews and releases."""

    def __init__(
        self,
        vm_id: VmId,
        incarnation: Incarnation,
        liveness: Liveness,
        *,
        started_at_s: float,
    ) -> None:
        """Starts as a node that neither votes nor owns shards."""
        self._vm_id = vm_id
        self._liveness = liveness
        self._started_at_s = started_at_s
        self._last_tick_s = started_at_s
        self._voting_since_s = started_at_s
        self._shards: tuple[ShardId, ...] = ()
        self._seen_peers: set[VmId] = set()
        self._has_seen_voter = False
        self._event_listeners: list[Callable[[LeaseEvent], None]] = []
        self._tenure_listeners: list[TenureListener] = []
        self._tenures: dict[ShardId, Tenure] = {}
        self._is_leaving = False
        self._has_released_all = False
        self.history = ListHistory()
        self._voter = LeaseVoter(self.history)
        self._holder = LeaseHolder(
            vm_id, incarnation, self.history, self._on_event
        )

    @property
    def is_voting(self) -> bool:
        """Returns whether the node votes and may own shards."""
        return self._voter.is_voting

    @property
    def has_collected_terms(self) -> bool:
        """Returns whether the voter has had time to learn current terms.

        A new voter knows no term until it receives the next renewals of the
        owners. If a second voter leaves before that, no majority of voters
        knows the terms any more, and successors start without the state of
        their predecessors.
        """
        voting_for_s = self._last_tick_s - self._voting_since_s
        return self.is_voting and voting_for_s >= TERM_COLLECTION_S

    @property
    def is_leaving(self) -> bool:
        """Returns whether the node acquires no more shards."""
        return self._is_leaving

    @property
    def held(self) -> tuple[ShardId, ...]:
        """Returns the shards that this node holds."""
        return self._holder.held

    def set_shards(self, shards: Iterable[ShardId]) -> None:
        """Sets the shards that need an owner."""
        self._shards = tuple(shards)

    def on_event(self, listener: Callable[[LeaseEvent], None]) -> None:
        """Adds a listener for lease events."""
        self._event_listeners.append(listener)

    def on_tenure(
        self,
        shard_prefix: str,
        started: Callable[[Tenure], None],
        ended: Callable[[Tenure], None],
    ) -> None:
        """Adds callbacks for the start and the end of tenures.

        ``ended`` may be called late, after a pause of the process: check
        ``tenure_of`` right before each action as owner.
        """
        self._tenure_listeners.append(
            TenureListener(shard_prefix, started, ended)
        )

    def tenure_of(self, shard: ShardId, now_s: float) -> Tenure | None:
        """Returns this node's tenure if it may act as owner right now."""
        if now_s - self._last_tick_s > MAX_TICK_GAP_S:
            return None
        lease = self._holder.lease(shard)
        tenure = lease.tenure if lease else None
        if tenure is None or tenure.expires_at_s <= now_s:
            return None
        return tenure

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the holder of this voter's grant, else the candidate."""
        holder = self._voter.holder_of(shard, self._last_tick_s)
        return holder or self.candidate_of(shard)

    def candidate_of(self, shard: ShardId) -> VmId | None:
        """Returns the best-ranked voter that is alive and not leaving."""
        voters = self.history.voters(self.history.newest, shard)
        return next(
            (voter for voter in voters if self._is_candidate(voter)), None
        )

    def tick(self, now_s: float, wall_ms: int) -> list[OutgoingMessage]:
        """Advances time; returns the messages to send."""
        self._last_tick_s = now_s
        self.history.record_revisions(
            self._vm_id, self.history.revisions, now_s
        )
        self.history.retire_lists(now_s)
        self._start_voting(now_s)
        if not self.is_voting:
            return []
        outgoing = self._holder.release(self._misplaced_shards(), now_s)
        outgoing += self._holder.tick(
            self._wanted_shards(now_s), now_s, wall_ms
        )
        return self._deliver_to_own_voter(outgoing, now_s)

    def record_revisions(
        self, peer: VmId, revisions: tuple[Revision, ...], now_s: float
    ) -> bool:
        """Records which lists a peer knows.

        Returns:
            True if this node knows all of them too.
        """
        return self.history.record_revisions(peer, revisions, now_s)

    def receive_heartbeat(
        self,
        peer: VmId,
        revisions: tuple[Revision, ...],
        now_s: float,
        *,
        is_voting: bool,
    ) -> None:
        """Handles a peer's heartbeat, which a new process needs to vote."""
        if self.record_revisions(peer, revisions, now_s):
            self._seen_peers.add(peer)
            self._has_seen_voter = self._has_seen_voter or is_voting

    def forget_peer(self, peer: VmId) -> None:
        """Drops the lists recorded for a peer whose process restarted."""
        self.history.forget_peer(peer)

    def handle_request(
        self, requester: VmId, request: LeaseRequest, now_s: float
    ) -> LeaseReply:
        """Handles another node's lease request as a voter."""
        self.record_revisions(requester, request.lists, now_s)
        return self._voter.handle_request(requester, request, now_s)

    def receive_reply(
        self, voter: VmId, reply: LeaseReply, now_s: float
    ) -> None:
        """Handles a voter's reply."""
        self.record_revisions(voter, reply.lists, now_s)
        self._holder.receive_reply(voter, reply, now_s)

    def receive_release(
        self, holder: VmId, release: LeaseRelease, now_s: float
    ) -> None:
        """Handles the release of grants by their holder."""
        self._voter.release(holder, release, now_s)

    def drop_leases(self, now_s: float) -> None:
        """Drops every lease, because the monotonic clock may have stopped."""
        self._holder.drop_all(now_s)

    def begin_leaving(self) -> None:
        """Acquires no more shards; those held are still renewed."""
        self._is_leaving = True

    def release_all(self, now_s: float) -> list[OutgoingMessage]:
        """Releases every shard for good."""
        self._is_leaving = True
        self._has_released_all = True
        outgoing = self._holder.release(self._holder.all_shards, now_s)
        return self._deliver_to_own_voter(outgoing, now_s)

    def _is_candidate(self, vm_id: VmId) -> bool:
        if vm_id == self._vm_id:
            return self.is_voting and not self._is_leaving
        if self._last_tick_s < self._voting_since_s + START_GRACE_S:
            return self._liveness.is_staying(vm_id)
        return self._liveness.is_candidate(vm_id)

    def _start_voting(self, now_s: float) -> None:
        if self.is_voting:
            return
        waited_s = now_s - self._started_at_s
        self._voter.is_voting = (
            waited_s >= MAX_LEASE_S and self._knows_active_lists()
        )
        self._voting_since_s = now_s

    def _knows_active_lists(self) -> bool:
        """Returns whether this node knows every active list.

        Either a voting node has reported its lists, or all listed VMs except
        one run new processes that do not vote yet. The remaining VM alone
        is no majority of any list of two or more VMs.
        """
        listed = set(self.history.newest.ids)
        unseen = listed - self._seen_peers - {self._vm_id}
        return self._has_seen_voter or (
            bool(listed) and len(unseen) <= MAX_UNSEEN_VMS
        )

    def _wanted_shards(self, now_s: float) -> list[ShardId]:
        if self._is_leaving:
            return []
        newest = self.history.newest
        return [
            shard
            for shard in self._shards
            if self._holder.lease(shard) is None
            and self._voter.holder_of(shard, now_s) in {None, self._vm_id}
            and self.candidate_of(shard) == self._vm_id
            and self._has_voting_majority(self.history.voters(newest, shard))
        ]

    def _has_voting_majority(self, voters: tuple[VmId, ...]) -> bool:
        """Returns whether a majority of the voters is alive and votes."""
        voting = sum(self._is_voting(voter) for voter in voters)
        return voting >= majority(len(voters))

    def _is_voting(self, vm_id: VmId) -> bool:
        return vm_id == self._vm_id or self._liveness.is_voting(vm_id)

    def _misplaced_shards(self) -> list[ShardId]:
        """Returns shards with a lease that this node may no longer own."""
        newest = self.history.newest
        return [
            shard
            for shard in self._holder.all_shards
            if shard not in self._shards
            or self._vm_id not in self.history.voters(newest, shard)
        ]

    def _deliver_to_own_voter(
        self, outgoing: list[OutgoingMessage], now_s: float
    ) -> list[OutgoingMessage]:
        """Delivers messages to this node's own voter; returns the others."""
        for item in outgoing:
            if item.target != self._vm_id:
                continue
            if isinstance(item.message, LeaseRequest):
                reply = self._voter.handle_request(
                    self._vm_id, item.message, now_s
                )
                self._holder.receive_reply(self._vm_id, reply, now_s)
            else:
                self._voter.release(self._vm_id, item.message, now_s)
        return [item for item in outgoing if item.target != self._vm_id]

    def _on_event(self, event: LeaseEvent) -> None:
        for listener in self._event_listeners:
            listener(event)
        if event.kind is LeaseEventKind.ACQUIRED:
            lease = self._holder.lease(event.shard)
            if lease is not None and lease.tenure is not None:
                self._tenures[event.shard] = lease.tenure
                self._notify_started(lease.tenure)
        elif event.kind in _ENDING_KINDS:
            tenure = self._tenures.pop(event.shard, None)
            if tenure is not None:
                self._notify_ended(tenure)

    def _notify_started(self, tenure: Tenure) -> None:
        for listener in self._tenure_listeners:
            if tenure.shard.startswith(listener.shard_prefix):
                listener.started(tenure)

    def _notify_ended(self, tenure: Tenure) -> None:
        for listener in self._tenure_listeners:
            if tenure.shard.startswith(listener.shard_prefix):
                listener.ended(tenure)


__all__ = ('LeaseOwnership', 'Liveness', 'TenureListener')
