"""Proves that an upstream has run without a restart since a request was sent.

The end of a response without a length is that of its connection, which looks
the same if the upstream has crashed. That the address can be connected to
proves nothing: the upstream, or another one, may have started there again.
Nor does its id after a silence in which it may have restarted under that id.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from catkinreach_core.gateway.availability import Incarnation

from .identity_query import MAX_CHECK_S, IdentityQuery

if TYPE_CHECKING:
    from catkinreach_core.gateway.identity import Identity
    from catkinreach_core.gateway.upstream import Upstream

    from .node import Node


@dataclass(slots=True)
class _SharedQuery:
    """A check that all responses share that ended before it is sent."""

    query: IdentityQuery
    answer: asyncio.Task[Identity | None]
    waiting: int = 0

    def proves(self, since_s: float) -> bool:
        """Returns whether it proves a response that has just ended.

        Its connection may be older than its own request only.

        Args:
            since_s: Monotonic time at which the request was sent.
        """
        return (
            self.waiting > 0
            and not self.answer.done()
            and not self.query.is_sent
            and self.query.since_s <= since_s
        )

    async def wait(self) -> Identity | None:
        """Returns what the sender says; without waiters the check ends."""
        self.waiting += 1
        try:
            return await asyncio.shield(self.answer)
        finally:
            self.waiting -= 1
            if not self.waiting:
                self.answer.cancel()


class IdentityCheck:
    """Asks upstreams who they are, once for all responses that ended."""

    def __init__(self, node: Node) -> None:
        """Prepares the checks of one node."""
        self._node = node
        self._shared: dict[Incarnation, _SharedQuery] = {}

    async def is_same(
        self, upstream: Upstream, since_s: float, silence_s: float
    ) -> bool:
        """Returns whether an upstream runs, and has done so since a time.

        Any reply on a connection that was open by then proves it. Otherwise
        the reply on a new connection has to name the start of the upstream, or
        its id after a reply without silence, and the store must not know of a
        later start.

        Args:
            upstream: Upstream that a request was sent to.
            since_s: Monotonic time at which it was sent.
            silence_s: Longest time without data within the reply.
        """
        if self._is_known_to_have_restarted(upstream):
            return False
        now_s = self._node.clock()
        if self._node.availability.pause_s(upstream, now_s) > MAX_CHECK_S:
            return False
        identity = await self._join(upstream, since_s).wait()
        return (
            identity is not None
            and identity.is_of(upstream, since_s, silence_s)
            and not self._is_known_to_have_restarted(upstream)
        )

    def _join(self, upstream: Upstream, since_s: float) -> _SharedQuery:
        """Returns a check that proves a response, a new one if none does."""
        incarnation = Incarnation.from_upstream(upstream)
        shared = self._shared.get(incarnation)
        if shared is not None and shared.proves(since_s):
            return shared
        query = IdentityQuery(self._node, upstream, since_s)
        shared = _SharedQuery(query, self._node.spawn(query.run()))
        self._shared[incarnation] = shared
        shared.answer.add_done_callback(lambda _: self._drop(incarnation))
        return shared

    def _drop(self, incarnation: Incarnation) -> None:
        """Drops a check that has ended, but not one that has followed it."""
        shared = self._shared.get(incarnation)
        if shared is not None and shared.answer.done():
            del self._shared[incarnation]

    def _is_known_to_have_restarted(self, upstream: Upstream) -> bool:
        known = self._node.view.find_upstream(upstream.upstream_id)
        if known is None:
            return False
        return known.upstream.started_ms != upstream.started_ms


__all__ = ('IdentityCheck',)
