"""Checks of upstreams that a request or a peer has put in doubt."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..http.client import ConnectError
from .decision_log import Event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.gateway.crash_suspects import Fingerprint
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

    from .node import Node

DOUBT_GAP_S = 1.0
"""Time between two checks of an upstream that peers can't reach."""


class UpstreamChecks:
    """Connects to upstreams in doubt; takes those out that are gone."""

    def __init__(self, node: Node) -> None:
        """Starts without doubts."""
        self._node = node
        self._doubted_at_s: dict[UpstreamId, float] = {}

    def check_crash(self, upstream: Upstream, fingerprint: Fingerprint) -> None:
        """Finds out whether an upstream crashed under a request."""
        self._node.spawn(self._confirm_crash(upstream, fingerprint))

    def check_reachable(self, upstream: Upstream) -> None:
        """Finds out whether an upstream that fell silent can be reached."""
        self._node.spawn(self._confirm_reachable(upstream))

    def doubt(self, upstream_id: UpstreamId) -> None:
        """Checks an upstream that a peer could not reach.

        The peer alone may be cut off from it, so its word is no proof.
        """
        node = self._node
        now_s = node.clock()
        known = node.view.find(upstream_id)
        if known is None or node.health.is_down(upstream_id):
            return
        if now_s - self._doubted_at_s.get(upstream_id, -math.inf) < DOUBT_GAP_S:
            return
        self._doubted_at_s[upstream_id] = now_s
        self.check_reachable(known.upstream)

    def take_replaced(self, told: Mapping[UpstreamId, int]) -> None:
        """Takes a peer's word that other upstreams have these addresses.

        Only the upstream itself can have said so, and no cut looks like it;
        but a later life of the same id is another matter.

        Args:
            told: Start of the replaced life, in Unix milliseconds, by id.
        """
        for upstream_id, started_ms in told.items():
            known = self._node.view.find(upstream_id)
            if known is not None and known.upstream.started_ms == started_ms:
                self._node.note_replaced(known.upstream)

    async def _confirm_crash(
        self, upstream: Upstream, fingerprint: Fingerprint
    ) -> None:
        if await self._confirm_reachable(upstream):
            return
        node = self._node
        crashes = node.suspects.note_break(fingerprint, node.clock())
        node.log.write(
            Event.SUSPECT,
            fingerprint=fingerprint,
            upstream=upstream.upstream_id,
            crashes=crashes,
        )

    async def _confirm_reachable(self, upstream: Upstream) -> bool:
        """Connects to an upstream; takes it out if it does not accept."""
        try:
            await self._node.pool.probe(upstream)
        except ConnectError as error:
            self._node.note_unreachable(upstream.upstream_id, str(error))
            return False
        return True


__all__ = ('UpstreamChecks',)
