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

from ..http.client import ConnectError, ExchangeError
from .decision_log import Event

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream

    from .node import Node

TICK_S = 0.3
SETTLED_S = 1.5
"""Time without a new upstream after which the list is taken as complete."""

ANNOUNCE_S = 0.4
"""Delay between announcing an order to the peers and sending it."""

ORDER_TIMEOUT_S = 1.0
SWITCH_MARGIN_S = 3.0
"""Margin on the usual switch time before an engine gets work again."""

ACCEPTED = frozenset({200, 202})


class StageOrderTask:
    """Sends stage orders while the nodes have elected this one as holder."""

    def __init__(self, node: Node) -> None:
        """Starts without being the holder."""
        self._node = node
        self._election = LeaderElection(node.settings.host)
        self._debouncer = SurplusDebouncer()

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._may_order():
                await self._order_next()

    def _may_order(self) -> bool:
        """Votes for a holder; returns whether this node may send orders."""
        node = self._node
        now_s = node.clock()
        live_peers = node.members.responsive(now_s)
        running = [
            peer for peer in live_peers if peer not in node.stopping_peers
        ]
        node.voted_holder = self._election.vote(running)
        votes = [node.voted_holder, *map(node.peer_holders.get, live_peers)]
        is_holder = self._election.update(
            [vote for vote in votes if vote is not None],
            members=max(node.members.count, node.members.configured_count),
            now_s=time.clock_gettime(time.CLOCK_BOOTTIME),
        )
        is_settled = now_s - node.view.last_added_at_s > SETTLED_S
        return is_holder and is_settled and not node.is_stopping

    async def _order_next(self) -> None:
        """Moves one surplus prefill engine of a service to decode."""
        catalog = self._node.view.catalog
        if catalog is None:
            return
        for service in catalog.services.values():
            if service.engine is None:
                continue
            engines = [
                known.upstream
                for known in self._node.view.usable(service.service_id)
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
            if self._may_order():
                await self._send_order(upstream)
            return

    async def _send_order(self, upstream: Upstream) -> None:
        request = self._node.dialect.stage_order(
            upstream, Stage.DECODE, self._node.settings.vm_id, self._fence()
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
            is_accepted=outcome in ACCEPTED,
            revision=self._node.revision,
        )

    def _fence(self) -> int:
        """Returns the fence: the store revision, then the node's address."""
        *_, zone, high, low = self._node.settings.host.split('.')
        node_part = (int(zone) << 16) | (int(high) << 8) | int(low)
        return (self._node.revision << 24) | node_part


__all__ = ('StageOrderTask',)
