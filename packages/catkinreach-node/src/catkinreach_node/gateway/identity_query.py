"""Asks the sender at an upstream's address who it is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from catkinreach_core.gateway.identity import Identity
from catkinreach_core.ids import RequestId

from ..http.client import ClientResponse
from ..http.connection import ConnectError, ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.upstream import Upstream

    from ..http.connection import ClientConnection
    from ..http.messages import HttpRequest
    from .node import Node

MAX_CHECK_S = 2.5
"""Longest check; a sound upstream may be silent for a second or so, or let the
check wait for a slot."""

MAX_LIMIT_WAIT_S = 10.0
"""Longest wait for the limit that an upstream names, besides the check."""

MIN_PAUSE_S = 0.1
PAUSE_FACTOR = 2.0
"""First pause after a refused check, and the factor for each further one."""

MAX_REPORT_BYTES = 1024 * 1024
"""Longest reply to a check that is read."""

CHECK_HOST = 'upstream'
NO_REQUEST = RequestId('')


class IdentityQuery:
    """One check of an upstream, which may wait and be sent repeatedly.

    Attributes:
        since_s: Monotonic time at which the request was sent.
        is_sent: Whether it is sent, and proves nothing of what ends later.
    """

    def __init__(self, node: Node, upstream: Upstream, since_s: float) -> None:
        """Prepares a check.

        Args:
            node: State of the process.
            upstream: Upstream that a request was sent to.
            since_s: Monotonic time at which it was sent.
        """
        self._node = node
        self._upstream = upstream
        self.since_s = since_s
        self._timeout = asyncio.timeout(MAX_CHECK_S)
        self.is_sent = False

    async def run(self) -> Identity | None:
        """Returns what the sender says; ``None`` without a reply."""
        try:
            async with self._timeout:
                return await self._identify()
        except (
            ConnectError,
            ExchangeError,
            TimeoutError,
            OSError,
            h11.ProtocolError,
        ):
            return None

    async def _identify(self) -> Identity:
        """Returns who replies on an older connection, or on another one.

        Raises:
            ConnectError: if it can't be connected to.
            ExchangeError: without a reply.
        """
        pool, upstream = self._node.pool, self._upstream
        older = await pool.take_older(upstream, self.since_s)
        if older is not None:
            return await self._ask(older, self._alive_request())
        if upstream.started_ms:
            identity = await self._ask_anew(self._alive_request)
            if identity.is_given:
                return identity
        return await self._ask_anew(self._health_request)

    async def _ask_anew(
        self, make_request: Callable[[], HttpRequest]
    ) -> Identity:
        """Asks on another connection until the upstream doesn't refuse.

        It may refuse checks while it is full, or ask for a pause, and is then
        asked again.

        Raises:
            ConnectError: if it can't be connected to.
            ExchangeError: without a reply.
        """
        pause_s = MIN_PAUSE_S
        while True:
            connection = await self._node.pool.acquire(self._upstream)
            identity = await self._ask(connection, make_request())
            self._node.note_reply(self._upstream, identity.metadata, NO_REQUEST)
            if not identity.is_refusal:
                return identity
            self.is_sent = False
            await asyncio.sleep(pause_s)
            pause_s *= PAUSE_FACTOR

    def _alive_request(self) -> HttpRequest:
        path = self._node.view.health_path(self._upstream.service_id)
        return self._node.dialect.alive_request(self._upstream, path)

    def _health_request(self) -> HttpRequest:
        path = self._node.view.health_path(self._upstream.service_id)
        return self._node.dialect.health_request(path)

    async def _ask(
        self, connection: ClientConnection, request: HttpRequest
    ) -> Identity:
        """Returns what a reply says of its sender; closes the connection.

        The head of a reply on an older connection says all that counts.

        Raises:
            ExchangeError: without a whole reply.
        """
        dialect = self._node.dialect
        is_older = connection.opened_s < self.since_s
        try:
            response = await self._read_head(connection, request)
            body = b''
            if not is_older:
                body = await response.read(MAX_REPORT_BYTES)
        finally:
            connection.close()
        return Identity(
            metadata=dialect.read_reply(response.status, response.headers),
            started_ms=dialect.read_started_ms(body),
            opened_s=connection.opened_s,
        )

    async def _read_head(
        self, connection: ClientConnection, request: HttpRequest
    ) -> ClientResponse:
        """Returns the head of a reply.

        It is asked for once the upstream wants requests, on a connection that
        is open by now: a restart meanwhile would end it.

        Raises:
            ExchangeError: without a reply.
        """
        await self._wait_for_turn()
        self.is_sent = True
        await connection.send(request, CHECK_HOST)
        head = await connection.next_event()
        if not isinstance(head, h11.Response):
            raise ExchangeError('no reply to a check')
        return ClientResponse(connection, head)

    async def _wait_for_turn(self) -> None:
        """Waits for the upstream's pause, and for a place within its limit.

        Raises:
            ExchangeError: if the place would come too late.
        """
        node, upstream = self._node, self._upstream
        limit_wait_s = node.limit_notes.check_wait_s(upstream)
        if limit_wait_s > MAX_LIMIT_WAIT_S:
            raise ExchangeError('the limit of the upstream forbids a check')
        node.limits.spend(upstream.upstream_id)
        ends_s = self._timeout.when()
        if ends_s is not None:
            self._timeout.reschedule(ends_s + limit_wait_s)
        pause_s = node.availability.pause_s(upstream, node.clock())
        await asyncio.sleep(max(pause_s, limit_wait_s))


__all__ = ('MAX_CHECK_S', 'IdentityQuery')
