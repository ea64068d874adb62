"""Grants of leases by a voter, kept in memory, at most one per shard."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..messages.leases import LeaseReply
from .timing import LEASE_S

if TYPE_CHECKING:
    from ..ids import Incarnation, ShardId, VmId
    from ..messages.leases import LeaseRelease, LeaseRequest
    from .history import ListHistory


@dataclass(frozen=True, slots=True)
class ClosedTerm:
    """A term that its holder released; late requests under it are refused."""

    vm_id: VmId
    incarnation: Incarnation
    term: int


@dataclass(frozen=True, slots=True)
class Grant:
    """A vote for a holder that expires by the clock of the voter.

    Attributes:
        vm_id: VM of the holder.
        incarnation: Incarnation of the holder.
        term: Term that was granted.
        expires_at_s: Time by the voter's monotonic clock until which no other
            holder is granted the shard.
        previous_term: Term that was granted before, 0 if none is known.
        closed: Term that was released last, ``None`` if none was.
        replaced: Expired grant that is restored, so that its holder can
            renew it, if this grant is released without having led to a
            tenure.
    """

    vm_id: VmId
    incarnation: Incarnation
    term: int
    expires_at_s: float
    previous_term: int
    closed: ClosedTerm | None = None
    replaced: Grant | None = None


class LeaseVoter:
    """Grants and renews leases, never to two holders of a shard at once."""

    def __init__(self, history: ListHistory) -> None:
        """Starts without any grant."""
        self._history = history
        self._grants: dict[ShardId, Grant] = {}
        self.is_voting = False

    def handle_request(
        self, requester: VmId, request: LeaseRequest, now_s: float
    ) -> LeaseReply:
        """Grants, renews or refuses the leases of a request."""
        lists = self._history.revisions
        if not self.is_voting or not self._history.has_matching_lists(
            request.lists
        ):
            return LeaseReply(
                number=request.number, lists=lists, is_voting=False
            )
        refused: dict[ShardId, int] = {}
        previous: dict[ShardId, int] = {}
        for shard, term in request.terms.items():
            known = self._grants.get(shard)
            requested = _new_grant(
                requester, request.incarnation, term, known, now_s
            )
            if known and not _may_replace(known, requested, now_s):
                refused[shard] = known.term
            elif known and known.term == term:
                self._renew(shard, known, now_s)
                previous[shard] = known.previous_term
            else:
                self._grants[shard] = requested
                previous[shard] = requested.previous_term
        return LeaseReply(
            number=request.number,
            lists=lists,
            refused=refused,
            previous={
                shard: term
                for shard, term in previous.items()
                if term and not request.is_renewal
            },
        )

    def release(
        self, holder: VmId, release: LeaseRelease, now_s: float
    ) -> None:
        """Ends grants that their holder released."""
        for shard, term in release.terms.items():
            grant = self._grants.get(shard)
            if grant is None or grant.vm_id != holder:
                continue
            if (grant.incarnation, grant.term) != (release.incarnation, term):
                continue
            closed = ClosedTerm(holder, release.incarnation, term)
            if release.is_aborted and grant.replaced is not None:
                grant = grant.replaced
            elif release.is_aborted:
                grant = replace(grant, term=0)
            self._grants[shard] = replace(
                grant, expires_at_s=now_s, closed=closed
            )

    def holder_of(self, shard: ShardId, now_s: float) -> VmId | None:
        """Returns the VM to which this voter has granted the shard."""
        grant = self._grants.get(shard)
        if grant is None or grant.expires_at_s <= now_s:
            return None
        return grant.vm_id

    def _renew(self, shard: ShardId, known: Grant, now_s: float) -> None:
        self._grants[shard] = replace(
            known, expires_at_s=max(known.expires_at_s, now_s + LEASE_S)
        )


def _new_grant(
    vm_id: VmId,
    incarnation: Incarnation,
    term: int,
    known: Grant | None,
    now_s: float,
) -> Grant:
    return Grant(
        vm_id=vm_id,
        incarnation=incarnation,
        term=term,
        expires_at_s=now_s + LEASE_S,
        previous_term=known.term if known else 0,
        closed=known.closed if known else None,
        replaced=replace(known, replaced=None) if known else None,
    )


def _may_replace(known: Grant, requested: Grant, now_s: float) -> bool:
    is_same_holder = (known.vm_id, known.incarnation) == (
        requested.vm_id,
        requested.incarnation,
    )
    if _is_within_closed_term(known.closed, requested):
        return False
    if known.term == requested.term:
        return is_same_holder
    if known.term > requested.term:
        return False
    return is_same_holder or known.expires_at_s <= now_s


def _is_within_closed_term(closed: ClosedTerm | None, requested: Grant) -> bool:
    return (
        closed is not None
        and (closed.vm_id, closed.incarnation)
        == (requested.vm_id, requested.incarnation)
        and requested.term <= closed.term
    )


__all__ = ('ClosedTerm', 'Grant', 'LeaseVoter')
