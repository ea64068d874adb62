"""Asks an aggregator for the loads of a large fleet, and answers as one."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from catkinreach_core.gateway.aggregation import uses_aggregators
from catkinreach_core.gateway.fleet_priority import sum_ranks
from catkinreach_core.gateway.gossip import (
    LoadQuery,
    LoadReply,
    encode_gossip,
)
from catkinreach_core.gateway.load_replies import AggregatorRole, LoadReplies
from catkinreach_core.gateway.peer_availability import (
    bound_reports,
    make_reports,
)

from .decision_log import Event

if TYPE_CHECKING:
    from catkinreach_core.gateway.load_table import UpstreamLoad
    from catkinreach_core.gateway.peer_availability import AvailabilityReport
    from catkinreach_core.ids import ServiceId, UpstreamId, WorkspaceId

    from .node import Node

QUERY_TIMEOUT_S = 0.025
"""Time for an aggregator's reply; several round trips."""


class LoadQueries:
    """Keeps the latest replies, by service, and answers others' queries."""

    def __init__(self, node: Node) -> None:
        """Starts without replies and without a query."""
        self._node = node
        self._query_ids = count(1)
        self._pending: dict[int, asyncio.Future[LoadReply]] = {}
        self._replies = LoadReplies()
        self._role = AggregatorRole()
        node.peer_handlers[LoadQuery] = self._answer
        node.peer_handlers[LoadReply] = self._take_reply

    @property
    def is_active(self) -> bool:
        """Returns whether the fleet is large enough for aggregators."""
        return uses_aggregators(self._node.members.count)

    def choose_aggregators(self) -> tuple[str, ...]:
        """Chooses the aggregators among the responsive VMs; returns them."""
        node = self._node
        now_s = node.clock()
        own_host = node.settings.host
        if self.is_active:
            responsive = node.members.responsive(now_s)
            node.aggregators.update((own_host, *responsive))
        else:
            node.aggregators.update(())
        self._role.update(
            is_aggregator=own_host in node.aggregators.hosts, now_s=now_s
        )
        return node.aggregators.hosts

    async def refresh(
        self, service_id: ServiceId, workspace_id: WorkspaceId | None
    ) -> None:
        """Gets the loads of a service, if another VM aggregates them.

        Without a reply the node goes on with what its peers told it.
        """
        node = self._node
        now_s = node.clock()
        if not self.is_active or self._role.is_complete(now_s):
            return
        if self._replies.is_fresh(service_id, workspace_id, now_s):
            return
        own_host = node.settings.host
        hosts = [
            host for host in node.aggregators.usable(now_s) if host != own_host
        ]
        node.rng.shuffle(hosts)
        for host in hosts:
            reply = await self._ask(host, service_id, workspace_id)
            if reply is not None and reply.is_complete:
                self._apply(service_id, workspace_id, reply)
                return
            self._record_failure(host, reply)

    def _record_failure(self, host: str, reply: LoadReply | None) -> None:
        node = self._node
        node.aggregators.suspect(host, node.clock())
        node.metrics.count_failed_load_query()
        node.log.write(
            Event.DEPENDENCY_LOST,
            dependency='aggregator',
            peer=host,
            reason='no answer' if reply is None else 'not complete',
            members=node.members.count,
        )

    def current_reply(self, service_id: ServiceId) -> LoadReply | None:
        """Returns the latest reply about a service, if it is recent."""
        return self._replies.current(service_id, self._node.clock())

    def admitted_cost(self, workspace_id: WorkspaceId) -> float | None:
        """Returns the cost that others admitted, if a recent reply has it."""
        return self._replies.admitted_cost(workspace_id, self._node.clock())

    def _answer(self, query: LoadQuery) -> None:
        """Sends the reply to another VM's query."""
        self._node.send_datagram(query.node, encode_gossip(self._reply(query)))

    def _take_reply(self, reply: LoadReply) -> None:
        """Hands a reply to the request that waits for it, if one still does."""
        pending = self._pending.get(reply.query_id)
        if pending is not None and not pending.done():
            pending.set_result(reply)

    async def _ask(
        self,
        host: str,
        service_id: ServiceId,
        workspace_id: WorkspaceId | None,
    ) -> LoadReply | None:
        """Asks one aggregator; returns ``None`` if it doesn't answer."""
        query = LoadQuery(
            node=self._node.settings.host,
            query_id=next(self._query_ids),
            service=service_id,
            workspace=workspace_id,
        )
        pending: asyncio.Future[LoadReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[query.query_id] = pending
        self._node.send_datagram(host, encode_gossip(query))
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                return await pending
        except TimeoutError:
            return None
        finally:
            del self._pending[query.query_id]

    def _apply(
        self,
        service_id: ServiceId,
        workspace_id: WorkspaceId | None,
        reply: LoadReply,
    ) -> None:
        node = self._node
        now_s = node.clock()
        self._replies.record(service_id, workspace_id, reply, now_s)
        node.loads.set_aggregated_loads(
            self._upstream_ids(service_id), reply.loads, now_s
        )
        for upstream_id in reply.down:
            node.checks.check_reported_down(upstream_id)
        node.checks.apply_replaced(reply.replaced)
        node.availability_notes.apply_reports(reply.unavailable, reply.node)

    def _reply(self, query: LoadQuery) -> LoadReply:
        node = self._node
        now_s = node.clock()
        if not self._role.is_complete(now_s):
            return LoadReply(
                node=node.settings.host,
                query_id=query.query_id,
                is_complete=False,
            )
        queued = node.totals.queued_by_node(query.service, query.node)
        if own_queued := node.wait_queues.tokens().get(query.service):
            queued.append(own_queued)
        return LoadReply(
            node=node.settings.host,
            query_id=query.query_id,
            is_complete=True,
            loads=self._loads_for(query, now_s),
            admitted=self._admitted_for(query, now_s),
            queued_tokens=sum(queued),
            queued_nodes=len(queued),
            queued_ranks=self._ranks_for(query),
            down=node.health.unreachable_upstreams(),
            replaced=node.replaced_upstreams(),
            unavailable=self._unavailable_for(query, now_s),
        )

    def _ranks_for(self, query: LoadQuery) -> dict[int, int]:
        """Returns what the streams queued at other nodes need, by rank."""
        node = self._node
        ranks = node.totals.waiting_ranks_by_node(query.service, query.node)
        ranks.append(node.wait_queues.tokens_by_rank().get(query.service, {}))
        return sum_ranks(ranks)

    def _loads_for(
        self, query: LoadQuery, now_s: float
    ) -> dict[UpstreamId, UpstreamLoad]:
        """Returns the loads that the node that asks doesn't know itself."""
        table = self._node.loads
        loads = {
            upstream_id: table.load_without_peer(upstream_id, query.node, now_s)
            for upstream_id in self._upstream_ids(query.service)
        }
        return {
            upstream_id: load
            for upstream_id, load in loads.items()
            if not load.is_idle
        }

    def _admitted_for(self, query: LoadQuery, now_s: float) -> float:
        """Returns the cost that the node that asks didn't admit itself."""
        if query.workspace is None:
            return 0.0
        node = self._node
        # Refunds of costs that have left the window make it negative.
        own_cost = max(0.0, node.quota.own_count(query.workspace, now_s))
        return own_cost + node.totals.reported_cost(query.workspace, query.node)

    def _unavailable_for(
        self, query: LoadQuery, now_s: float
    ) -> dict[UpstreamId, AvailabilityReport]:
        """Returns what this node and its peers know of the service."""
        node = self._node
        upstreams = [
            known.upstream
            for known in node.view.usable_upstreams(query.service)
        ]
        reports = node.peer_availability.make_reports(upstreams, now_s)
        reports.update(make_reports(node.availability, upstreams, now_s))
        return bound_reports(reports, reports)

    def _upstream_ids(self, service_id: ServiceId) -> list[UpstreamId]:
        return [
            known.upstream.upstream_id
            for known in self._node.view.usable_upstreams(service_id)
        ]


__all__ = ('LoadQueries',)
