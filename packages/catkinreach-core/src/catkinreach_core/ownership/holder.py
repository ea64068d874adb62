"""Requests, renewals and releases of leases, on the node that holds them.

The leases follow Gray and Cheriton, "Leases: an efficient
fault-tolerant mechanism for distributed file cache consistency", SOSP 1989.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..messages.leases import LeaseRelease, LeaseRequest
from .events import LeaseEvent, LeaseEventKind
from .lease import Lease
from .timing import ACQUIRE_TIMEOUT_S, MAX_LEASE_S, RENEW_PERIOD_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..ids import Incarnation, ShardId, VmId
    from ..messages.leases import LeaseReply
    from .history import ListHistory

RETRY_S: Final = 0.2
"""Interval between requests of an acquisition."""

BACKOFF_S: Final = 0.4
"""Delay before the next acquisition of a shard after one that was aborted."""

CONTESTED_BACKOFF_S: Final = 1.2
"""Delay after a second acquisition in a row was refused because a voter had
granted the shard to another holder. It is longer than a renewal period, so that
the holder's renewal reaches this node's own voter, whose grant then keeps this
node from trying again."""


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to be sent to a voter."""

    target: VmId
    message: LeaseRequest | LeaseRelease


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request whose reply may still arrive."""

    target: VmId
    at_s: float
    terms: Mapping[ShardId, int]


class LeaseHolder:
    """Acquires, renews and releases leases for the shards of this node."""

    def __init__(
        self,
        vm_id: VmId,
        incarnation: Incarnation,
        history: ListHistory,
        on_event: Callable[[LeaseEvent], None],
    ) -> None:
        """Starts without leases; ``on_event`` receives their events."""
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._history = history
        self._on_event = on_event
        self._leases: dict[ShardId, Lease] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._request_number = 0
        self._retry_at_s: dict[ShardId, float] = {}
        self._seen_terms: dict[ShardId, int] = {}
        self._contested_shards: set[ShardId] = set()
        self._wall_ms = 0

    def lease(self, shard: ShardId) -> Lease | None:
        """Returns the lease of a shard, held or being acquired."""
        return self._leases.get(shard)

    @property
    def all_shards(self) -> tuple[ShardId, ...]:
        """Returns the shards with a lease, held or being acquired."""
        return tuple(self._leases)

    @property
    def held(self) -> tuple[ShardId, ...]:
        """Returns the shards with a tenure."""
        return tuple(
            shard
            for shard, lease in self._leases.items()
            if lease.tenure is not None
        )

    def tick(
        self, wanted: Iterable[ShardId], now_s: float, wall_ms: int
    ) -> list[OutgoingMessage]:
        """Drops expired leases, starts acquisitions, returns due requests."""
        self._wall_ms = max(wall_ms, self._wall_ms)
        outgoing = self._drop_expired(now_s)
        for shard in wanted:
            if (
                shard not in self._leases
                and self._retry_at_s.get(shard, 0.0) <= now_s
            ):
                self._start_acquisition(shard, now_s)
        return outgoing + self._due_requests(now_s)

    def receive_reply(
        self, voter: VmId, reply: LeaseReply, now_s: float
    ) -> None:
        """Handles a voter's reply; one without a pending request is ignored."""
        pending = self._pending.pop(reply.number, None)
        if pending is None or pending.target != voter or not reply.is_voting:
            return
        for shard, term in pending.terms.items():
            lease = self._leases.get(shard)
            if lease is None or lease.term != term:
                continue
            if shard in reply.refused:
                lease.drop_grant(voter)
                lease.is_contested |= reply.refused[shard] < term
                self._record_term(shard, reply.refused[shard])
                continue
            previous = reply.previous.get(shard, 0)
            self._record_term(shard, previous)
            lease.add_grant(voter, pending.at_s, previous)
            self._update_tenure(lease, now_s)

    def release(
        self, shards: Iterable[ShardId], now_s: float
    ) -> list[OutgoingMessage]:
        """Releases leases, so that other nodes may acquire them at once."""
        dropped = []
        for shard in shards:
            lease = self._leases.pop(shard, None)
            if lease is None:
                continue
            self._retry_at_s[shard] = now_s + BACKOFF_S
            if lease.tenure is not None:
                self._emit_event(
                    LeaseEventKind.RELEASED,
                    lease,
                    now_s,
                    min(now_s, lease.tenure.expires_at_s),
                )
            dropped.append(lease)
        return self._release_messages(dropped)

    def drop_all(self, now_s: float) -> None:
        """Drops every lease after a pause of the process, without a release."""
        for lease in self._leases.values():
            if lease.tenure is not None:
                self._emit_event(LeaseEventKind.LOST, lease, now_s, now_s)
        self._leases.clear()
        self._pending.clear()

    def _drop_expired(self, now_s: float) -> list[OutgoingMessage]:
        dropped = []
        for shard, lease in tuple(self._leases.items()):
            tenure = lease.tenure
            if tenure is not None:
                if tenure.expires_at_s <= now_s:
                    del self._leases[shard]
                    self._emit_event(
                        LeaseEventKind.LOST, lease, now_s, tenure.expires_at_s
                    )
            elif (
                lease.is_contested
                or lease.requested_at_s + ACQUIRE_TIMEOUT_S <= now_s
            ):
                del self._leases[shard]
                self._back_off(lease, now_s)
                self._emit_event(
                    LeaseEventKind.ACQUIRE_FAILED, lease, now_s, 0.0
                )
                dropped.append(lease)
        for number in [
            number
            for number, pending in self._pending.items()
            if pending.at_s + MAX_LEASE_S <= now_s
        ]:
            del self._pending[number]
        return self._release_messages(dropped)

    def _back_off(self, lease: Lease, now_s: float) -> None:
        delay_s = BACKOFF_S
        if not lease.is_contested:
            self._contested_shards.discard(lease.shard)
        elif lease.shard in self._contested_shards:
            delay_s = CONTESTED_BACKOFF_S
        else:
            self._contested_shards.add(lease.shard)
        self._retry_at_s[lease.shard] = now_s + delay_s

    def _start_acquisition(self, shard: ShardId, now_s: float) -> None:
        term = max(self._seen_terms.get(shard, 0), self._wall_ms) + 1
        self._record_term(shard, term)
        self._leases[shard] = Lease(
            shard=shard,
            term=term,
            requested_at_s=now_s,
            next_request_at_s=now_s,
        )

    def _due_requests(self, now_s: float) -> list[OutgoingMessage]:
        batches: dict[tuple[VmId, bool], dict[ShardId, int]] = {}
        for shard, lease in self._leases.items():
            if lease.next_request_at_s > now_s:
                continue
            is_renewal = lease.tenure is not None
            lease.next_request_at_s = now_s + (
                RENEW_PERIOD_S if is_renewal else RETRY_S
            )
            voters = {
                member
                for quorum in self._history.quorums(shard, now_s)
                for member in quorum
            }
            for voter in voters:
                batch = batches.setdefault((voter, is_renewal), {})
                batch[shard] = lease.term
        return [
            self._new_request(voter, terms, now_s, is_renewal=is_renewal)
            for (voter, is_renewal), terms in sorted(
                batches.items(), key=lambda batch: batch[0]
            )
        ]

    def _new_request(
        self,
        voter: VmId,
        terms: dict[ShardId, int],
        now_s: float,
        *,
        is_renewal: bool,
    ) -> OutgoingMessage:
        self._request_number += 1
        self._pending[self._request_number] = _PendingRequest(
            voter, now_s, terms
        )
        request = LeaseRequest(
            number=self._request_number,
            incarnation=self._incarnation,
            lists=self._history.revisions,
            terms=terms,
            is_renewal=is_renewal,
        )
        return OutgoingMessage(voter, request)

    def _update_tenure(self, lease: Lease, now_s: float) -> None:
        is_new = lease.tenure is None
        owner = (self._vm_id, self._incarnation)
        quorums = self._history.quorums(lease.shard, now_s)
        if not lease.update(quorums, owner, now_s) or lease.tenure is None:
            return
        if is_new:
            lease.next_request_at_s = now_s + RENEW_PERIOD_S
            self._contested_shards.discard(lease.shard)
        self._emit_event(
            LeaseEventKind.ACQUIRED if is_new else LeaseEventKind.EXTENDED,
            lease,
            now_s,
            lease.tenure.expires_at_s,
        )

    def _release_messages(
        self, leases: Iterable[Lease]
    ) -> list[OutgoingMessage]:
        batches: dict[tuple[VmId, bool], dict[ShardId, int]] = {}
        for lease in leases:
            for voter in lease.granters:
                key = (voter, lease.tenure is None)
                batches.setdefault(key, {})[lease.shard] = lease.term
        return [
            OutgoingMessage(
                voter,
                LeaseRelease(
                    incarnation=self._incarnation,
                    terms=terms,
                    is_aborted=is_aborted,
                ),
            )
            for (voter, is_aborted), terms in batches.items()
        ]

    def _record_term(self, shard: ShardId, term: int) -> None:
        self._seen_terms[shard] = max(self._seen_terms.get(shard, 0), term)

    def _emit_event(
        self,
        kind: LeaseEventKind,
        lease: Lease,
        now_s: float,
        until_s: float,
    ) -> None:
        self._on_event(
            LeaseEvent(
                kind=kind,
                shard=lease.shard,
                vm_id=self._vm_id,
                incarnation=self._incarnation,
                term=lease.term,
                at_s=now_s,
                wall_ms=self._wall_ms,
                until_s=until_s,
            )
        )


__all__ = ('LeaseHolder', 'OutgoingMessage')
