"""Checks upstreams after a failed request or a peer's report."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from ..http.connection import ConnectError, RefusedError
from .decision_log import Event
from .suspect_keys import crash_source, domain_source

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

    from .admitted_request import AdmittedRequest
    from .node import Node

CHECK_INTERVAL_S = 1.0
"""Minimum time between checks of an upstream that may be down."""

DOMAIN_LOSS_S = 1.0
"""Time in which all upstreams of a lost failure domain go down. It is less
than a restart takes, so that upstreams that crash in turn are told apart."""

CRASH_CHECK_S = 0.1
CRASH_CHECK_GAP_S = 0.02
"""Time for which an upstream that resets connects is checked for a crash, and
the pause between two connects. A process that ends may do so just before
nothing listens any more."""


class UpstreamChecks:
    """Connects to suspected upstreams and marks unreachable ones down."""

    def __init__(self, node: Node) -> None:
        """Starts without checks."""
        self._node = node
        self._checked_at_s: dict[UpstreamId, float] = {}

    def check_reachable(self, upstream: Upstream) -> None:
        """Checks in the background whether a silent upstream is reachable."""
        self._node.spawn(self.confirm_reachable(upstream))

    def check_reported_down(self, upstream_id: UpstreamId) -> None:
        """Checks an upstream that a peer could not reach.

        Only the peer may be cut off from it, so its report isn't sufficient.
        """
        known = self._node.view.find_upstream(upstream_id)
        if known is not None:
            self.check_silent(known.upstream)

    def check_silent(self, upstream: Upstream) -> None:
        """Checks an upstream that may be down, unless that was done lately."""
        upstream_id = upstream.upstream_id
        now_s = self._node.clock()
        checked_at_s = self._checked_at_s.get(upstream_id, -math.inf)
        if self._node.health.is_down(upstream_id):
            return
        if now_s - checked_at_s >= CHECK_INTERVAL_S:
            self._checked_at_s[upstream_id] = now_s
            self.check_reachable(upstream)

    def apply_replaced(self, replaced: Mapping[UpstreamId, int]) -> None:
        """Applies a peer's report that upstreams were replaced.

        Unlike a report of an unreachable upstream it needs no check: it is
        based on a reply from that address, which no network partition can
        cause. The report doesn't apply to a later incarnation of the same id.

        Args:
            replaced: Start of the replaced incarnation, in Unix
                milliseconds, by upstream id.
        """
        for upstream_id, started_ms in replaced.items():
            known = self._node.view.find_upstream(upstream_id)
            if known is not None and known.upstream.started_ms == started_ms:
                self._node.mark_replaced(known.upstream)

    async def confirm_crash(
        self, upstream: Upstream, admitted: AdmittedRequest
    ) -> int:
        """Records a crash if nothing listens at an upstream that disconnected.

        Returns:
            Most crashes that one key of the request has; 0 without a crash.
        """
        if not await self._has_crashed(upstream):
            return 0
        node = self._node
        is_domain_lost = await self._is_domain_lost(upstream)
        name_source = domain_source if is_domain_lost else crash_source
        crashes = node.crash_suspects.record_crash(
            admitted.suspect_keys,
            name_source(upstream),
            node.clock(),
        )
        node.load_changed.set()
        node.log.write(
            Event.SUSPECT,
            request=admitted.metadata.request_id,
            fingerprint=admitted.suspect_keys[0],
            parts=admitted.metadata.shared_parts,
            upstream=upstream.upstream_id,
            crashes=crashes,
            domain_lost=is_domain_lost,
        )
        return crashes

    async def _has_crashed(self, upstream: Upstream) -> bool:
        """Returns whether nothing listens at an upstream.

        Connects that time out or are reset may be the work of the network; an
        upstream that can't be connected to is marked down all the same. Nor do
        connects prove anything that are refused to a VM which reaches none.
        """
        node = self._node
        until_s = node.clock() + CRASH_CHECK_S
        is_marked = False
        while True:
            try:
                await node.paths.probe(upstream)
            except ConnectError as error:
                if not is_marked:
                    node.mark_unreachable(upstream.upstream_id, str(error))
                is_marked = True
                if isinstance(error, RefusedError):
                    return not await node.paths.is_cut_off(is_suspected=True)
            else:
                return False
            if node.clock() >= until_s:
                return False
            await asyncio.sleep(CRASH_CHECK_GAP_S)

    async def _is_domain_lost(self, upstream: Upstream) -> bool:
        """Returns whether all of its failure domain went down with it.

        That is hardly the work of requests, which crash one upstream after
        the other.
        """
        since_s = self._node.clock() - DOMAIN_LOSS_S
        health = self._node.health
        others = self._node.view.others_in_domain(upstream)
        if any(
            health.went_down_before(other.upstream_id, since_s)
            for other in others
        ):
            return False
        for other in others:
            is_down = health.is_down(other.upstream_id)
            if not is_down and await self.confirm_reachable(other):
                return False
        return bool(others)

    async def confirm_reachable(self, upstream: Upstream) -> bool:
        """Connects to an upstream; marks it down if that fails."""
        try:
            await self._node.paths.probe(upstream)
        except ConnectError as error:
            self._node.mark_unreachable(upstream.upstream_id, str(error))
            return False
        return True


__all__ = ('UpstreamChecks',)
