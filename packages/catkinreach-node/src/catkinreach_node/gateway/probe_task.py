"""Probes unreachable upstreams, so that no request serves as the probe."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..http.connection import ConnectError
from .decision_log import Event
from .suspect_keys import crash_source

if TYPE_CHECKING:
    from catkinreach_core.ids import UpstreamId

    from .node import Node

PROBE_TICK_S = 0.1


class ProbeTask:
    """Connects to unreachable upstreams, with exponential backoff."""

    def __init__(self, node: Node) -> None:
        """Prepares the task; nothing is probed yet."""
        self._node = node

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(PROBE_TICK_S)
            now_s = self._node.clock()
            due = self._node.health.due_probes(now_s)
            await asyncio.gather(*map(self._probe, due))
            for upstream_id in self._node.view.drop_expired(now_s):
                self._node.log.write(
                    Event.UPSTREAM_GONE,
                    upstream=upstream_id,
                    reason='not renewed after the store outage',
                )
            for domain_id in self._node.view.restore_unconfirmed(now_s):
                self._node.log.write(
                    Event.DOMAIN,
                    domain=domain_id,
                    state='back',
                    reason='not written again after a restore of the store',
                )

    async def _probe(self, upstream_id: UpstreamId) -> None:
        known = self._node.view.find_upstream(upstream_id)
        if known is None:
            self._node.health.forget(upstream_id)
            return
        try:
            await self._node.paths.probe(known.upstream)
        except ConnectError as error:
            self._node.mark_unreachable(upstream_id, str(error))
            return
        self._node.health.record_reachable(upstream_id)
        self._node.crash_suspects.record_up(
            crash_source(known.upstream), self._node.clock()
        )
        self._node.log.write(Event.UPSTREAM_UP, upstream=upstream_id)


__all__ = ('ProbeTask',)
