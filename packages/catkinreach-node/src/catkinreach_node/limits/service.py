"""Grants slices of the limit shards that this node owns."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.limits.lease_table import SliceLeaseTable
from catkinreach_core.limits.parameters import WorkspaceLimits
from catkinreach_core.messages.limits import LimitHandover, LimitHandoverAck
from catkinreach_core.ownership.shards import limit_shard

if TYPE_CHECKING:
    from catkinreach_core.ids import ShardId, VmId, WorkspaceId
    from catkinreach_core.messages.limits import SliceGrant, SliceRequest
    from catkinreach_core.ownership.tenure import Tenure

    from ..component import NodeContext


class LimitService:
    """Handles slice requests while this node's tenure of the shard lasts."""

    def __init__(self, context: NodeContext) -> None:
        """Starts without lease tables."""
        self._context = context
        self._lease_tables: dict[ShardId, SliceLeaseTable] = {}
        self._stored_handovers: dict[ShardId, LimitHandover] = {}
        self._started_at_s = time.monotonic()
        self._is_closed = False

    @property
    def lease_table_count(self) -> int:
        """Returns the number of owned shards that have a lease table."""
        return len(self._lease_tables)

    async def respond(
        self, sender: VmId, slice_request: SliceRequest
    ) -> SliceGrant:
        """Grants slices, without an ``await`` between the checks and the grant.

        Raises:
            CatkinreachError: ``NO_OWNER`` if this node may not grant slices.
        """
        shard = limit_shard(slice_request.workspace_id)
        limits = self._limits(slice_request.workspace_id)
        now_s = time.monotonic()
        tenure = self._context.ownership.tenure_of(shard, now_s)
        if tenure is None or limits is None or self._is_closed:
            raise CatkinreachError(ErrorKind.NO_OWNER)
        lease_table = self._lease_table(tenure, now_s)
        grant = lease_table.grant_slices(sender, slice_request, limits, now_s)
        if grant is None:
            raise CatkinreachError(
                ErrorKind.NO_OWNER, 'The slice request is outdated.'
            )
        return grant

    async def store_handover(
        self,
        sender: VmId,  # noqa: ARG002 - part of the protocol
        handover: LimitHandover,
    ) -> LimitHandoverAck:
        """Stores a predecessor's handover until this node's tenure begins."""
        stored = self._stored_handovers.get(handover.shard)
        if stored is None or stored.term < handover.term:
            self._stored_handovers[handover.shard] = handover
        return LimitHandoverAck()

    def close(self, now_s: float) -> list[LimitHandover]:
        """Stops granting; returns handovers for the tenures that still last."""
        self._is_closed = True
        for workspace_id in self._all_limits():
            tenure = self._context.ownership.tenure_of(
                limit_shard(workspace_id), now_s
            )
            if tenure is not None:
                self._lease_table(tenure, now_s)
        return [
            lease_table.handover(now_s)
            for shard, lease_table in self._lease_tables.items()
            if self._is_current(shard, lease_table, now_s)
        ]

    def _is_current(
        self, shard: ShardId, lease_table: SliceLeaseTable, now_s: float
    ) -> bool:
        tenure = self._context.ownership.tenure_of(shard, now_s)
        return tenure is not None and tenure.term == lease_table.term

    def _lease_table(self, tenure: Tenure, now_s: float) -> SliceLeaseTable:
        lease_table = self._lease_tables.get(tenure.shard)
        if lease_table is None or lease_table.term != tenure.term:
            lease_table = self._open_lease_table(tenure, now_s)
            self._lease_tables[tenure.shard] = lease_table
        return lease_table

    def _open_lease_table(
        self, tenure: Tenure, now_s: float
    ) -> SliceLeaseTable:
        handover = self._stored_handovers.pop(tenure.shard, None)
        if handover is not None and handover.term == tenure.predecessor_term:
            limits = self._all_limits()
            return SliceLeaseTable.from_handover(
                tenure, handover, limits, now_s
            )
        return SliceLeaseTable.from_tenure(
            tenure, not_before_s=self._started_at_s
        )

    def _limits(self, workspace_id: WorkspaceId) -> WorkspaceLimits | None:
        workspaces = self._context.state.settings.workspaces
        workspace = workspaces.get(workspace_id)
        if workspace is None:
            return None
        return WorkspaceLimits.from_workspace(workspace)

    def _all_limits(self) -> dict[WorkspaceId, WorkspaceLimits]:
        if not self._context.state.has_settings:
            return {}
        workspaces = self._context.state.settings.workspaces
        return {
            workspace_id: WorkspaceLimits.from_workspace(workspace)
            for workspace_id, workspace in workspaces.items()
        }


__all__ = ('LimitService',)
