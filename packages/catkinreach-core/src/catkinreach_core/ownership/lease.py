"""A shard's lease on the node that holds or requests it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .history import majority
from .tenure import Tenure
from .timing import HOLDER_LEASE_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..ids import Incarnation, ShardId, VmId


@dataclass(slots=True)
class Lease:
    """Grants collected for a shard under a term.

    Attributes:
        shard: Shard that is requested.
        term: Term that is requested.
        requested_at_s: Time at which the acquisition started.
        next_request_at_s: Time at which the next request is due.
        tenure: Ownership under this lease, once a majority has granted.
        is_contested: Whether a voter refused because it granted the shard to
            another holder.
    """

    shard: ShardId
    term: int
    requested_at_s: float
    next_request_at_s: float
    tenure: Tenure | None = None
    is_contested: bool = False
    _valid_until_s: dict[VmId, float] = field(default_factory=dict)
    _previous_terms: dict[VmId, int] = field(default_factory=dict)

    @property
    def granters(self) -> tuple[VmId, ...]:
        """Returns the voters that granted under this term."""
        return tuple(self._valid_until_s)

    def add_grant(self, voter: VmId, sent_at_s: float, previous: int) -> None:
        """Adds a grant, valid from the time at which its request was sent."""
        valid_until_s = sent_at_s + HOLDER_LEASE_S
        known_until_s = self._valid_until_s.get(voter, valid_until_s)
        self._valid_until_s[voter] = max(known_until_s, valid_until_s)
        if previous:
            self._previous_terms[voter] = previous

    def drop_grant(self, voter: VmId) -> None:
        """Drops the grant of a voter that refused a later request."""
        self._valid_until_s.pop(voter, None)

    def valid_until_s(self, quorums: Sequence[Sequence[VmId]]) -> float:
        """Returns the time until which every quorum has a majority of grants.

        Returns:
            Time by the holder's monotonic clock, 0 if a majority is missing.
        """
        return min(
            (self._quorum_until_s(voters) for voters in quorums), default=0.0
        )

    def update(
        self,
        quorums: Sequence[Sequence[VmId]],
        owner: tuple[VmId, Incarnation],
        now_s: float,
    ) -> bool:
        """Starts or extends the tenure; returns True if it changed."""
        until_s = self.valid_until_s(quorums)
        tenure = self.tenure
        if tenure is None:
            if until_s <= now_s:
                return False
            self.tenure = self._new_tenure(quorums, owner, now_s, until_s)
            return True
        if until_s <= tenure.expires_at_s or tenure.expires_at_s <= now_s:
            return False
        self.tenure = Tenure(
            shard=tenure.shard,
            owner=tenure.owner,
            incarnation=tenure.incarnation,
            term=tenure.term,
            started_at_s=tenure.started_at_s,
            expires_at_s=until_s,
            predecessor_term=tenure.predecessor_term,
        )
        return True

    def _new_tenure(
        self,
        quorums: Sequence[Sequence[VmId]],
        owner: tuple[VmId, Incarnation],
        now_s: float,
        until_s: float,
    ) -> Tenure:
        vm_id, incarnation = owner
        return Tenure(
            shard=self.shard,
            owner=vm_id,
            incarnation=incarnation,
            term=self.term,
            started_at_s=now_s,
            expires_at_s=until_s,
            predecessor_term=self._predecessor_term(quorums),
        )

    def _predecessor_term(self, quorums: Sequence[Sequence[VmId]]) -> int:
        """Returns the term of the previous tenure, 0 if that is uncertain.

        Every earlier tenure was granted by a majority. So if a majority of
        the voters remembers a previous term, one of them remembers the last.
        """
        for voters in quorums:
            count = sum(voter in self._previous_terms for voter in voters)
            if count < majority(len(voters)):
                return 0
        return max(self._previous_terms.values(), default=0)

    def _quorum_until_s(self, voters: Sequence[VmId]) -> float:
        expiries_s = sorted(
            (self._valid_until_s.get(voter, 0.0) for voter in voters),
            reverse=True,
        )
        return expiries_s[majority(len(expiries_s)) - 1] if expiries_s else 0.0


__all__ = ('Lease',)
