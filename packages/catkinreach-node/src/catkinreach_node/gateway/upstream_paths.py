"""Reaches upstreams directly, or through peers while this VM is cut off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..http.connection import ClosedToRequestsError, ConnectError
from .decision_log import Event
from .exchange import exchange, ignore_sending
from .relay_link import RelayLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import RequestId

    from ..http.messages import HttpRequest
    from .exchange import Reply
    from .node import Node

CHECKED_UPSTREAMS = 3
"""Further upstreams that a VM connects to before it takes itself for cut
off."""

RETURN_INTERVAL_S = 0.25
"""Time between two tries to reach an upstream while the VM is cut off."""


class UpstreamPaths:
    """Chooses the way to upstreams.

    A VM whose connects fail one after the other connects to some further
    upstreams. If it reaches none, the fault is its own: nothing is held against
    the upstreams, and peers pass its requests on until a connect succeeds.
    """

    def __init__(self, node: Node) -> None:
        """Starts with direct connections."""
        self._node = node
        self._relay = RelayLink(node)
        self._check: asyncio.Task[bool] | None = None

    @property
    def _uses_relays(self) -> bool:
        """Returns whether peers may reach what this VM doesn't."""
        return self._node.reach.is_cut_off and self._relay.has_peers

    async def run(self) -> None:
        """Tries to reach upstreams while the VM is cut off; never ends."""
        while True:
            await asyncio.sleep(RETURN_INTERVAL_S)
            if self._node.reach.is_cut_off:
                await self._try_return()

    async def exchange(
        self,
        upstream: Upstream,
        request: HttpRequest,
        request_id: RequestId,
        on_sending: Callable[[], None] = ignore_sending,
    ) -> Reply:
        """Sends a request and returns the head of its reply.

        Args:
            upstream: Upstream to send to.
            request: Request for it.
            request_id: Id that the reply must repeat.
            on_sending: Called once there is a connection to the upstream, or to
                a peer that may reach it.

        Raises:
            ConnectError: nothing was sent; a ``ClosedToRequestsError`` if the
                upstream takes no requests.
            ExchangeError: the request may have run.
        """
        node = self._node
        if not self._uses_relays:
            try:
                return await exchange(
                    node, upstream, request, request_id, on_sending
                )
            except ClosedToRequestsError:
                raise
            except ConnectError:
                await self.is_cut_off()
                if not self._uses_relays:
                    raise
        if not node.may_still_send(upstream):
            raise ClosedToRequestsError(f'{upstream.address} takes no requests')
        return await self._relay.exchange(
            upstream, request, request_id, on_sending
        )

    async def probe(self, upstream: Upstream) -> None:
        """Connects to an upstream.

        Raises:
            ConnectError: if it doesn't accept.
        """
        node = self._node
        if not self._uses_relays:
            try:
                await node.pool.probe(upstream)
            except ConnectError:
                await self.is_cut_off()
                if not self._uses_relays:
                    raise
            else:
                return
        await self._relay.probe(upstream)

    async def is_cut_off(self, *, is_suspected: bool = False) -> bool:
        """Returns whether the VM reaches no upstream; checks it if needed.

        Args:
            is_suspected: Whether to check it after a single failure.
        """
        if self._check is None:
            node = self._node
            known = len(node.view.known_upstreams)
            if not node.reach.needs_check(
                known, node.clock(), is_suspected=is_suspected
            ):
                return node.reach.is_cut_off
            if is_suspected and not self._can_tell:
                return False
            self._check = node.spawn(self._check_reach())
        return await asyncio.shield(self._check)

    @property
    def _can_tell(self) -> bool:
        """Returns whether more than one upstream can show a cut."""
        failed = self._node.reach.failed
        return len(failed) > 1 or bool(self._further_upstreams())

    async def _check_reach(self) -> bool:
        """Connects to further upstreams; returns whether all that fails."""
        node = self._node
        node.reach.begin_check(node.clock())
        try:
            await asyncio.gather(*map(self._connect, self._further_upstreams()))
        finally:
            self._check = None
        if not node.reach.end_check():
            return False
        node.log.write(
            Event.CUT_OFF,
            upstreams=sorted(node.reach.failed),
            peers=len(node.members.responsive(node.clock())),
        )
        # Connections may hang, and what failed says nothing of the upstreams.
        node.pool.drop_all()
        node.health.forget_unreachable()
        node.load_changed.set()
        return True

    def _further_upstreams(self) -> list[Upstream]:
        """Returns some upstreams that weren't tried since the last success."""
        node = self._node
        untried = [
            known.upstream
            for known in node.view.known_upstreams
            if known.upstream.upstream_id not in node.reach.failed
            and not node.health.is_down(known.upstream.upstream_id)
        ]
        return node.rng.sample(untried, min(CHECKED_UPSTREAMS, len(untried)))

    async def _try_return(self) -> None:
        node = self._node
        known = node.view.known_upstreams
        if not known:
            return
        await self._connect(node.rng.choice(known).upstream)
        if not node.reach.is_cut_off:
            node.log.write(Event.REACHABLE)
            node.load_changed.set()

    async def _connect(self, upstream: Upstream) -> None:
        """Connects directly; the pool records whether that succeeds."""
        try:
            await self._node.pool.check_reach(upstream)
        except ConnectError:
            return


__all__ = ('UpstreamPaths',)
