"""The owner's slice leases of one limit shard during one tenure."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from ..messages.limits import (
    AccountState,
    LimitHandover,
    SliceGrant,
    SliceNeed,
    SliceRequest,
)
from .bucket import LimitBucket, SliceHolder
from .parameters import CLOCK_DRIFT, SLICE_EXPIRY_S

if TYPE_CHECKING:
    from ..ids import VmId, WorkspaceId
    from ..ownership.tenure import Tenure
    from .parameters import UnitLimit, WorkspaceLimits

MAX_RECOVERY_S: Final = 30.0
"""Longest time for which a new owner reports that its buckets recover."""

RECOVERED_RATIO: Final = 0.5
"""Fraction of the burst from which a bucket counts as recovered."""


class WorkspaceAccount:
    """Buckets of one workspace and the last answered slice requests."""

    def __init__(
        self,
        buckets: tuple[LimitBucket, LimitBucket],
        *,
        recovers_until_s: float = -math.inf,
    ) -> None:
        """Starts without lease holders."""
        self._buckets = buckets
        self._recovers_until_s = recovers_until_s
        self._answered_sequences: dict[SliceHolder, int] = {}

    def state(self, workspace_id: WorkspaceId, now_s: float) -> AccountState:
        """Returns the state of both buckets for a successor."""
        requests, tokens = self._buckets
        return AccountState(
            workspace_id=workspace_id,
            buckets=(requests.state(now_s), tokens.state(now_s)),
        )

    def grant_slices(
        self,
        holder: SliceHolder,
        slice_request: SliceRequest,
        limits: WorkspaceLimits,
        now_s: float,
    ) -> SliceGrant | None:
        """Grants units unless a later request of the holder was answered."""
        last = self._answered_sequences.get(holder, 0)
        if slice_request.sequence <= last:
            return None
        self._answered_sequences[holder] = slice_request.sequence
        for bucket, limit in zip(self._buckets, limits.units, strict=True):
            bucket.set_limit(limit, now_s)
        first, second = (
            bucket.grant(
                holder,
                need,
                now_s,
                is_last_accepted=slice_request.accepted == last,
            )
            for bucket, need in zip(
                self._buckets, slice_request.needs, strict=True
            )
        )
        return SliceGrant(
            term=slice_request.term,
            sequence=slice_request.sequence,
            slices=(first, second),
            is_recovering=self._is_recovering(now_s),
        )

    def _is_recovering(self, now_s: float) -> bool:
        """Returns whether a bucket still refills after a change of owner."""
        if now_s >= self._recovers_until_s:
            return False
        if all(
            bucket.fill_ratio >= RECOVERED_RATIO for bucket in self._buckets
        ):
            self._recovers_until_s = now_s
            return False
        return True


class SliceLeaseTable:
    """Slice leases of one shard's workspaces during one tenure."""

    def __init__(
        self,
        tenure: Tenure,
        fill_from_s: float,
        *,
        accounts: dict[WorkspaceId, WorkspaceAccount] | None = None,
    ) -> None:
        """Starts with empty buckets that fill from ``fill_from_s`` on."""
        self._shard = tenure.shard
        self.term = tenure.term
        self._fill_from_s = fill_from_s
        self._accounts = accounts or {}

    @property
    def account_count(self) -> int:
        """Returns the number of workspaces that have buckets."""
        return len(self._accounts)

    @classmethod
    def from_tenure(
        cls, tenure: Tenure, *, not_before_s: float
    ) -> SliceLeaseTable:
        """Returns a table that fills once all earlier slices have expired."""
        started_at_s = max(tenure.started_at_s, not_before_s)
        return cls(tenure, started_at_s + SLICE_EXPIRY_S)

    @classmethod
    def from_handover(
        cls,
        tenure: Tenure,
        handover: LimitHandover,
        limits: dict[WorkspaceId, WorkspaceLimits],
        now_s: float,
    ) -> SliceLeaseTable:
        """Returns a lease table that continues the predecessor's.

        The buckets are not refilled for the time between the two tenures.
        """
        filled_for_s = handover.filled_for_s
        filled_for_s -= CLOCK_DRIFT * abs(filled_for_s)
        fill_from_s = now_s - filled_for_s
        accounts = {
            state.workspace_id: _inherited_account(
                state, limits[state.workspace_id], max(now_s, fill_from_s)
            )
            for state in handover.accounts
            if state.workspace_id in limits
        }
        return cls(tenure, fill_from_s, accounts=accounts)

    def grant_slices(
        self,
        vm_id: VmId,
        slice_request: SliceRequest,
        limits: WorkspaceLimits,
        now_s: float,
    ) -> SliceGrant | None:
        """Grants slices; returns ``None`` for an outdated request.

        The caller checks right before the call that its tenure has not ended.
        """
        account = self._account(slice_request.workspace_id, limits, now_s)
        if slice_request.term != self.term:
            slice_request = _without_leases(slice_request, self.term)
        holder = SliceHolder(vm_id, slice_request.incarnation)
        return account.grant_slices(holder, slice_request, limits, now_s)

    def handover(self, now_s: float) -> LimitHandover:
        """Returns the state for the successor; grants must stop with it."""
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


def _inherited_account(
    state: AccountState, limits: WorkspaceLimits, at_s: float
) -> WorkspaceAccount:
    requests, tokens = (
        LimitBucket(
            limit,
            level=bucket.level,
            at_s=at_s,
            inherited=bucket.outstanding,
        )
        for bucket, limit in zip(state.buckets, limits.units, strict=True)
    )
    return WorkspaceAccount((requests, tokens))


def _without_leases(slice_request: SliceRequest, term: int) -> SliceRequest:
    """Returns the request without its units, which another term granted."""
    first, second = (
        SliceNeed(need=need.need, first=need.first, prefetch=need.prefetch)
        for need in slice_request.needs
    )
    return SliceRequest(
        workspace_id=slice_request.workspace_id,
        incarnation=slice_request.incarnation,
        sequence=slice_request.sequence,
        term=term,
        accepted=0,
        needs=(first, second),
    )


__all__ = ('SliceLeaseTable', 'WorkspaceAccount')
