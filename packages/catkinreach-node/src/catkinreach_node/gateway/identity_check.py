"""Proves that an upstream has run without a restart since a request was sent.

The end of a response without a length is that of its connection, which looks
the same if the upstream has crashed. That the address can be connected to
proves nothing: the upstream, or another one, may have started there again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from catkinreach_core.ids import RequestId

from ..http.client import ClientResponse
from ..http.connection import ConnectError, ExchangeError

if TYPE_CHECKING:
    from catkinreach_core.gateway.metadata import ReplyMetadata
    from catkinreach_core.gateway.upstream import Upstream

    from ..http.connection import ClientConnection
    from ..http.messages import HttpRequest
    from .node import Node

MAX_CHECK_S = 2.5
"""Longest check; a sound upstream may be silent for a second or so, or let the
check wait for a slot."""

MIN_PAUSE_S = 0.1
PAUSE_FACTOR = 2.0
"""First pause after a refused check, and the factor for each further one."""

CHECK_HOST = 'upstream'
NO_REQUEST = RequestId('')


class IdentityCheck:
    """Asks upstreams who they are."""

    def __init__(self, node: Node) -> None:
        """Prepares the checks of one node."""
        self._node = node

    async def is_same(self, upstream: Upstream, since_s: float) -> bool:
        """Returns whether an upstream runs, and has done so since a time.

        Any reply on a connection that was open by then proves it. Otherwise
        the reply on a new connection has to name the upstream, and the store
        must not know of a later start.

        Args:
            upstream: Upstream that a request was sent to.
            since_s: Monotonic time at which it was sent.
        """
        node = self._node
        if self._is_known_to_have_restarted(upstream):
            return False
        if self._pause_s(upstream) > MAX_CHECK_S:
            return False
        try:
            async with asyncio.timeout(MAX_CHECK_S):
                older = await node.pool.take_older(upstream, since_s)
                if older is not None:
                    request = self._alive_request(upstream)
                    await self._ask(upstream, older, request)
                    return True
                if not await self._names_itself(upstream):
                    return False
        except (
            ConnectError,
            ExchangeError,
            TimeoutError,
            OSError,
            h11.ProtocolError,
        ):
            return False
        return not self._is_known_to_have_restarted(upstream)

    async def _names_itself(self, upstream: Upstream) -> bool:
        """Returns whether the upstream names itself on a new connection.

        It may refuse checks while it is full, or ask for a pause, and is then
        asked again.

        Raises:
            ConnectError: if it can't be connected to.
            ExchangeError: without a reply.
        """
        pause_s = MIN_PAUSE_S
        while True:
            connection = await self._node.pool.acquire(upstream)
            request = self._health_request(upstream)
            reply = await self._ask(upstream, connection, request)
            self._node.note_reply(upstream, reply, NO_REQUEST)
            is_refusal = reply.has_not_run and reply.answered_by is None
            if not is_refusal:
                return reply.answered_by == upstream.upstream_id
            await asyncio.sleep(pause_s)
            pause_s *= PAUSE_FACTOR

    def _pause_s(self, upstream: Upstream) -> float:
        now_s = self._node.clock()
        return self._node.availability.pause_s(upstream, now_s)

    def _is_known_to_have_restarted(self, upstream: Upstream) -> bool:
        known = self._node.view.find_upstream(upstream.upstream_id)
        if known is None:
            return False
        return known.upstream.started_ms != upstream.started_ms

    def _alive_request(self, upstream: Upstream) -> HttpRequest:
        path = self._node.view.health_path(upstream.service_id)
        return self._node.dialect.alive_request(upstream, path)

    def _health_request(self, upstream: Upstream) -> HttpRequest:
        path = self._node.view.health_path(upstream.service_id)
        return self._node.dialect.health_request(path)

    async def _ask(
        self,
        upstream: Upstream,
        connection: ClientConnection,
        request: HttpRequest,
    ) -> ReplyMetadata:
        """Returns the metadata of a reply, whose body isn't read.

        It is asked for once the upstream wants requests, on a connection that
        is open by now: a restart meanwhile would end it.

        Raises:
            ExchangeError: without a reply.
        """
        try:
            await asyncio.sleep(self._pause_s(upstream))
            await connection.send(request, CHECK_HOST)
            head = await connection.next_event()
        finally:
            connection.close()
        if not isinstance(head, h11.Response):
            raise ExchangeError('no reply to a check')
        response = ClientResponse(connection, head)
        return self._node.dialect.read_reply(response.status, response.headers)


__all__ = ('IdentityCheck',)
