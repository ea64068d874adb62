"""What all other nodes do: an aggregator's reply, or the peers' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.gateway.fleet_priority import sum_ranks
from catkinreach_core.gateway.members import (
    SILENT_AFTER_S,
    full_message_interval_s,
)
from catkinreach_core.gateway.quota import PeerCosts

if TYPE_CHECKING:
    from catkinreach_core.ids import ServiceId, WorkspaceId

    from .node import Node


class FleetTotals:
    """Sums over the other nodes, from the freshest source."""

    def __init__(self, node: Node) -> None:
        """Prepares the sums of one node."""
        self._node = node

    def queued_tokens(self, service_id: ServiceId) -> int:
        """Returns the memory tokens that streams queued at peers need."""
        reply = self._node.load_queries.current_reply(service_id)
        if reply is not None:
            return reply.queued_tokens
        return sum(self.queued_by_node(service_id))

    def count_queueing(self, service_id: ServiceId) -> int:
        """Returns the number of responsive peers with queued streams."""
        reply = self._node.load_queries.current_reply(service_id)
        if reply is not None:
            return reply.queued_nodes
        return len(self.queued_by_node(service_id))

    def waiting_ranks(self, service_id: ServiceId) -> dict[int, int]:
        """Returns the memory that streams queued at peers need, by rank."""
        reply = self._node.load_queries.current_reply(service_id)
        if reply is not None:
            return reply.queued_ranks
        return sum_ranks(self.waiting_ranks_by_node(service_id))

    def waiting_ranks_by_node(
        self, service_id: ServiceId, excluded: str = ''
    ) -> list[dict[int, int]]:
        """Returns the same of each peer that has queued streams.

        Args:
            service_id: Service of the queued streams.
            excluded: Address of a peer that is left out.
        """
        return self._node.peer_reports.tokens_by_rank(
            service_id, self._peers(excluded)
        )

    def peer_costs(self, workspace_id: WorkspaceId) -> PeerCosts:
        """Returns what the peers admitted for a workspace."""
        node = self._node
        now_s = node.clock()
        members = node.members.count
        cost = node.load_queries.admitted_cost(workspace_id)
        report_age_s = 0.0
        if cost is None:
            cost = self.reported_cost(workspace_id)
            report_age_s = full_message_interval_s(members)
        unheard = self._unheard_count(now_s)
        return PeerCosts(
            cost=cost,
            silent=node.members.silent_count(now_s),
            members=members + unheard,
            report_age_s=report_age_s,
            counting_s=node.peer_reports.counting_s(self._peers(''), now_s),
            unheard=unheard,
        )

    def _unheard_count(self, now_s: float) -> int:
        """Returns the number of nodes that this new node hasn't heard yet.

        Later, nodes that it hasn't heard are gone.
        """
        counting_s = self._node.quota.counting_s(now_s)
        if counting_s is None or counting_s > SILENT_AFTER_S:
            return 0
        return self._node.members.unheard_count

    def queued_by_node(
        self, service_id: ServiceId, excluded: str = ''
    ) -> list[int]:
        """Returns the queued memory tokens of each peer that has any.

        Args:
            service_id: Service of the queued streams.
            excluded: Address of a peer that is left out.
        """
        return self._node.peer_reports.queued_tokens(
            service_id, self._peers(excluded)
        )

    def reported_cost(
        self, workspace_id: WorkspaceId, excluded: str = ''
    ) -> float:
        """Returns the cost that responsive peers reported, but for one."""
        return self._node.peer_reports.admitted_cost(
            workspace_id, self._peers(excluded)
        )

    def _peers(self, excluded: str) -> list[str]:
        node = self._node
        responsive = node.members.responsive(node.clock())
        return [peer for peer in responsive if peer != excluded]


__all__ = ('FleetTotals',)
