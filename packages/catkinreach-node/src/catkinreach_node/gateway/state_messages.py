"""What a node tells its peers of itself."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from catkinreach_core.gateway.gossip import (
    MAX_GOSSIP_MEMBERS,
    NO_DOMAIN,
    GossipMessage,
)
from catkinreach_core.gateway.peer_availability import bound_reports

if TYPE_CHECKING:
    from catkinreach_core.gateway.gossip import Phase
    from catkinreach_core.gateway.peer_availability import AvailabilityReport
    from catkinreach_core.ids import UpstreamId

    from .node import Node


class StateMessages:
    """Makes the messages of one node; remembers what the last ones told."""

    def __init__(self, node: Node) -> None:
        """Starts as a node that has told nothing."""
        self._node = node
        self._told_down: frozenset[UpstreamId] = frozenset()
        self._told_unavailable: frozenset[UpstreamId] = frozenset()

    def message(self, phase: Phase, *, is_load_change: bool) -> GossipMessage:
        """Returns the next message.

        Args:
            phase: Lifecycle state of the node.
            is_load_change: Whether to leave out what only full messages carry.
        """
        node = self._node
        now_s = node.clock()
        responsive_peers = list(node.members.responsive(now_s))
        node.rng.shuffle(responsive_peers)
        return GossipMessage(
            node=node.settings.host,
            phase=phase,
            members=[]
            if is_load_change
            else responsive_peers[:MAX_GOSSIP_MEMBERS],
            loads=node.loads.own_loads(),
            admitted=node.quota.own_counts(now_s),
            down=self._take_down(is_load_change=is_load_change),
            replaced=node.replaced_upstreams(),
            waiting=node.wait_queues.tokens(),
            holder=node.voted_leader,
            switching=node.switching_engines.remaining_s(now_s),
            unavailable=self._take_unavailable(is_load_change=is_load_change),
            domain=NO_DOMAIN if is_load_change else node.settings.domain_id,
            ends_unix_ms=node.shutdown.ends_unix_ms,
            counting_ms=math.ceil(1000 * (node.quota.counting_s(now_s) or 0.0)),
            known_nodes=node.members.count,
            waiting_ranks=node.wait_queues.tokens_by_rank(),
            store_revision=node.changed_revision,
            limits=node.limit_notes.reports(),
            is_cut_off=node.reach.is_cut_off,
        )

    def _take_down(self, *, is_load_change: bool) -> list[UpstreamId]:
        """Returns the unreachable upstreams that a message tells of.

        A change of load, of which there are many, doesn't repeat them: in a
        large fleet the copies for all peers would fill this node's link.
        """
        down = self._node.health.unreachable_upstreams()
        told, self._told_down = self._told_down, frozenset(down)
        if not is_load_change:
            return down
        return [upstream_id for upstream_id in down if upstream_id not in told]

    def _take_unavailable(
        self, *, is_load_change: bool
    ) -> dict[UpstreamId, AvailabilityReport]:
        """Returns what a message tells of upstreams that leave or pause.

        A change of load repeats none of it.
        """
        reports = self._node.availability_notes.reports()
        told = self._told_unavailable if is_load_change else frozenset()
        order = [one for one in reports if one not in told]
        self._node.rng.shuffle(order)
        bounded = bound_reports(reports, order)
        all_told = self._told_unavailable | bounded.keys()
        self._told_unavailable = all_told & reports.keys()
        return bounded


__all__ = ('StateMessages',)
