"""The owner's lease table: the buckets of one limit shard during one tenure."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from ..messages.limits import (
    AccountState,
    LimitHandover,
    SliceAsk,
    SliceGrant,
    SliceNeed,
)
from .bucket import Borrower, LimitBucket
from .parameters import CLOCK_DRIFT, LAPSE_S

if TYPE_CHECKING:
    from ..ids import VmId, WorkspaceId
    from ..ownership.tenure import Tenure
    from .parameters import UnitLimit, WorkspaceLimits

MAX_RECOVERY_S: Final = 30.0
"""Longest time for which a new owner asks borrowers to be patient."""

RECOVERED_PART: Final = 0.5
"""Part of the burst at hand from which a bucket counts as recovered."""


class WorkspaceAccount:
    """Both buckets of one workspace and the asks that were answered."""

    def __init__(
        self,
        buckets: tuple[LimitBucket, LimitBucket],
        *,
        recovers_until_s: float = -math.inf,
    ) -> None:
        """Starts without borrowers."""
        self._buckets = buckets
        self._recovers_until_s = recovers_until_s
        self._answered: dict[Borrower, int] = {}

    def state(self, workspace_id: WorkspaceId, now_s: float) -> AccountState:
        """Returns what a successor has to know."""
        requests, tokens = self._buckets
        return AccountState(
            workspace_id=workspace_id,
            buckets=(requests.state(now_s), tokens.state(now_s)),
        )

    def grant_slices(
        self,
        borrower: Borrower,
        ask: SliceAsk,
        limits: WorkspaceLimits,
        now_s: float,
    ) -> SliceGrant | None:
        """Lends, unless a later ask of the borrower was answered before."""
        last = self._answered.get(borrower, 0)
        if ask.sequence <= last:
            return None
        self._answered[borrower] = ask.sequence
        for bucket, limit in zip(self._buckets, limits.units, strict=True):
            bucket.set_limit(limit, now_s)
        first, second = (
            bucket.lend(
                borrower, need, now_s, is_last_accepted=ask.accepted == last
            )
            for bucket, need in zip(self._buckets, ask.needs, strict=True)
        )
        return SliceGrant(
            term=ask.term,
            sequence=ask.sequence,
            slices=(first, second),
            is_recovering=self._is_recovering(now_s),
        )

    def _is_recovering(self, now_s: float) -> bool:
        """Tells whether a bucket has yet to make up for the last tenure."""
        if now_s >= self._recovers_until_s:
            return False
        if all(bucket.fullness >= RECOVERED_PART for bucket in self._buckets):
            self._recovers_until_s = now_s
            return False
        return True


class SliceLeaseTable:
    """Limits of one shard's workspaces during one tenure."""

    def __init__(
        self,
        tenure: Tenure,
        fill_from_s: float,
        *,
        accounts: dict[WorkspaceId, WorkspaceAccount] | None = None,
    ) -> None:
        """Starts with empty buckets that fill from a moment on."""
        self._shard = tenure.shard
        self.term = tenure.term
        self._fill_from_s = fill_from_s
        self._accounts = accounts or {}

    @property
    def account_count(self) -> int:
        """Returns the workspaces that were asked for."""
        return len(self._accounts)

    @classmethod
    def from_tenure(
        cls, tenure: Tenure, *, not_before_s: float
    ) -> SliceLeaseTable:
        """Returns a table that fills once every earlier slice has lapsed."""
        started_at_s = max(tenure.started_at_s, not_before_s)
        return cls(tenure, started_at_s + LAPSE_S)

    @classmethod
    def from_handover(
        cls,
        tenure: Tenure,
        handover: LimitHandover,
        limits: dict[WorkspaceId, WorkspaceLimits],
        now_s: float,
    ) -> SliceLeaseTable:
        """Returns a lease table that goes on where the predecessor stopped.

        Nothing is filled for the time between the two tenures.
        """
        filled_for_s = handover.filled_for_s
        filled_for_s -= CLOCK_DRIFT * abs(filled_for_s)
        fill_from_s = now_s - filled_for_s
        accounts = {
            state.workspace_id: _adopted(
                state, limits[state.workspace_id], max(now_s, fill_from_s)
            )
            for state in handover.accounts
            if state.workspace_id in limits
        }
        return cls(tenure, fill_from_s, accounts=accounts)

    def grant_slices(
        self,
        vm_id: VmId,
        ask: SliceAsk,
        limits: WorkspaceLimits,
        now_s: float,
    ) -> SliceGrant | None:
        """Returns what is lent, or ``None`` for an ask that came late.

        The caller checks right before that its tenure has not ended.
        """
        account = self._account(ask.workspace_id, limits, now_s)
        if ask.term != self.term:
            ask = _without_holdings(ask, self.term)
        borrower = Borrower(vm_id, ask.incarnation)
        return account.grant_slices(borrower, ask, limits, now_s)

    def handover(self, now_s: float) -> LimitHandover:
        """Returns what the successor needs; nothing is lent afterwards."""
        return LimitHandover(
            shard=self._shard,
            term=self.term,
            filled_for_s=now_s - self._fill_from_s,
            accounts=tuple(
                account.state(workspace_id, now_s)
                for workspace_id, account in self._accounts.items()
            ),
        )

    def _account(
        self, workspace_id: WorkspaceId, limits: WorkspaceLimits, now_s: float
    ) -> WorkspaceAccount:
        account = self._accounts.get(workspace_id)
        if account is None:
            requests, tokens = limits.units
            account = WorkspaceAccount(
                (self._bucket(requests, now_s), self._bucket(tokens, now_s)),
                recovers_until_s=self._fill_from_s + MAX_RECOVERY_S,
            )
            self._accounts[workspace_id] = account
        return account

    def _bucket(self, limit: UnitLimit, now_s: float) -> LimitBucket:
        filled_s = max(0.0, now_s - self._fill_from_s)
        return LimitBucket(
            limit,
            level=filled_s * limit.rate,
            at_s=max(now_s, self._fill_from_s),
        )


def _adopted(
    state: AccountState, limits: WorkspaceLimits, at_s: float
) -> WorkspaceAccount:
    requests, tokens = (
        LimitBucket(
            limit,
            level=bucket.level,
            at_s=at_s,
            adopted=bucket.outstanding,
        )
        for bucket, limit in zip(state.buckets, limits.units, strict=True)
    )
    return WorkspaceAccount((requests, tokens))


def _without_holdings(ask: SliceAsk, term: int) -> SliceAsk:
    """Returns the ask of a node that holds nothing of this term."""
    first, second = (
        SliceNeed(need=need.need, first=need.first, prefetch=need.prefetch)
        for need in ask.needs
    )
    return SliceAsk(
        workspace_id=ask.workspace_id,
        incarnation=ask.incarnation,
        sequence=ask.sequence,
        term=term,
        accepted=0,
        needs=(first, second),
    )


__all__ = ('SliceLeaseTable', 'WorkspaceAccount')
