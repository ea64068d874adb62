"""Orders engines to change their stage, from one elected node at a time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from catkinreach_core.gateway.leader_election import LeaderElection
from catkinreach_core.gateway.stage_plan import (
    SurplusDebouncer,
    surplus_prefill_engine,
)
from catkinreach_core.gateway.upstream import Stage

from ..http.connection import ConnectError, ExchangeError
from .decision_log import Event

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream

    from .node import Node

TICK_S = 0.3
SETTLED_S = 1.5
"""Time without a new upstream after which the list counts as complete."""

ANNOUNCE_S = 0.4
"""Delay between announcing an order to the peers and sending it."""

ORDER_TIMEOUT_S = 1.0
SWITCH_MARGIN_S = 3.0
"""Time beyond a switch's usual downtime before an engine gets work again."""

ACCEPTED_STATUSES = frozenset({200, 202})

ADDRESS_BITS = 24
MAX_FENCED_POSITION = (1 << 63 - ADDRESS_BITS) - 1
"""Fencing numbers fit into 63 bits; they don't rise beyond the seventh era."""


class StageOrderTask:
    """Sends stage orders while this node is the elected leader."""

    def __init__(self, node: Node) -> None:
        """Starts as a follower."""
        self._node = node
        self._election = LeaderElection(node.settings.host)
        self._debouncer = SurplusDebouncer()

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._update_leadership():
                await self._order_next_switch()

    def _update_leadership(self) -> bool:
        """Votes for a leader; returns whether this node may send orders."""
        node = self._node
        now_s = node.clock()
        responsive_peers = node.members.responsive(now_s)
        running = [
            peer
            for peer in responsive_peers
            if peer not in node.peer_reports.stopping
        ]
        node.voted_leader = self._election.vote(running)
        votes = [
            node.voted_leader,
            *map(node.peer_reports.votes.get, responsive_peers),
        ]
        is_leader = self._election.update(
            [vote for vote in votes if vote is not None],
            members=max(node.members.count, node.members.configured_count),
            now_s=time.clock_gettime(time.CLOCK_BOOTTIME),
        )
        is_settled = now_s - node.view.last_added_at_s > SETTLED_S
        return is_leader and is_settled and not node.shutdown.is_begun

    async def _order_next_switch(self) -> None:
        """Orders one surplus prefill engine to switch to decode."""
        catalog = self._node.view.catalog
        if catalog is None:
            return
        for service in catalog.services.values():
            if service.engine is None:
                continue
            engines = [
                known.upstream
                for known in self._node.view.usable_upstreams(
                    service.service_id
                )
                if self._node.availability.may_get_requests(
                    known.upstream, self._node.clock()
                )
            ]
            upstream = surplus_prefill_engine(
                engines,
                service.engine,
                self._node.switching_engines.current(self._node.clock()),
            )
            has_lasted = self._debouncer.has_lasted(
                service.service_id,
                is_surplus=upstream is not None,
                now_s=self._node.clock(),
            )
            if upstream is None or not has_lasted:
                continue
            switch_s = service.engine.stage_switch_s + SWITCH_MARGIN_S
            self._node.switching_engines.add(
                upstream.upstream_id, switch_s, self._node.clock()
            )
            self._node.load_changed.set()
            await asyncio.sleep(ANNOUNCE_S)
            if self._update_leadership():
                await self._send_order(upstream)
            return

    async def _send_order(self, upstream: Upstream) -> None:
        request = self._node.dialect.stage_order(
            upstream,
            Stage.DECODE,
            self._node.settings.vm_id,
            self._fencing_number(),
        )
        outcome: int | str
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                outcome, _ = await self._node.control_http.call_raw(
                    upstream.address, request
                )
        except (ConnectError, ExchangeError, TimeoutError) as error:
            outcome = repr(error)
        self._node.log.write(
            Event.ORDER,
            upstream=upstream.upstream_id,
            stage=Stage.DECODE.value,
            outcome=outcome,
            is_accepted=outcome in ACCEPTED_STATUSES,
            revision=self._node.revision,
        )

    def _fencing_number(self) -> int:
        """Returns the fencing number: store position, then address bytes."""
        *_, second, third, fourth = self._node.settings.host.split('.')
        address_part = (int(second) << 16) | (int(third) << 8) | int(fourth)
        position = min(self._node.revision, MAX_FENCED_POSITION)
        return (position << ADDRESS_BITS) | address_part


__all__ = ('StageOrderTask',)
