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

import h11

from catkinreach_core.ids import RequestId

from ..http.client import ClientResponse
from ..http.connection import ConnectError, ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

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

RESTART_S = 0.5
"""Silence in which an upstream may crash and start again under its id."""

MAX_REPORT_BYTES = 1024 * 1024
"""Longest reply to a check that is read."""

CHECK_HOST = 'upstream'
NO_REQUEST = RequestId('')


@dataclass(frozen=True, slots=True)
class _Identity:
    """What the reply to a check says of its sender.

    Attributes:
        metadata: Metadata of the reply.
        started_ms: Start of the sender in Unix milliseconds, if given.
    """

    metadata: ReplyMetadata
    started_ms: int | None

    @property
    def is_refusal(self) -> bool:
        """Returns whether the check was refused without a name."""
        metadata = self.metadata
        return metadata.has_not_run and metadata.answered_by is None

    @property
    def is_given(self) -> bool:
        """Returns whether the sender names itself or its start."""
        has_name = self.metadata.answered_by is not None
        return has_name or self.started_ms is not None

    def is_of(self, upstream: Upstream, *, may_have_restarted: bool) -> bool:
        """Returns whether the sender is an upstream since the request.

        Args:
            upstream: The upstream, as known when the request was sent.
            may_have_restarted: Whether it was silent for so long that its id
                doesn't tell two incarnations apart.
        """
        name = self.metadata.answered_by
        if name is not None and name != upstream.upstream_id:
            return False
        if not upstream.started_ms:
            return name is not None
        if self.started_ms is not None:
            return self.started_ms == upstream.started_ms
        return name is not None and not may_have_restarted


class IdentityCheck:
    """Asks upstreams who they are."""

    def __init__(self, node: Node) -> None:
        """Prepares the checks of one node."""
        self._node = node

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
        node = self._node
        if self._is_known_to_have_restarted(upstream):
            return False
        if self._pause_s(upstream) > MAX_CHECK_S:
            return False
        try:
            async with asyncio.timeout(MAX_CHECK_S):
                older = await node.pool.take_older(upstream, since_s)
                if older is not None:
                    await self._prove_alive(upstream, older)
                    return True
                identity = await self._identify(upstream)
        except (
            ConnectError,
            ExchangeError,
            TimeoutError,
            OSError,
            h11.ProtocolError,
        ):
            return False
        return identity.is_of(
            upstream, may_have_restarted=silence_s >= RESTART_S
        ) and not self._is_known_to_have_restarted(upstream)

    async def _prove_alive(
        self, upstream: Upstream, connection: ClientConnection
    ) -> None:
        """Gets any reply on a connection, which it closes.

        Raises:
            ExchangeError: without a reply.
        """
        request = self._alive_request(upstream)
        try:
            await self._read_head(upstream, connection, request)
        finally:
            connection.close()

    async def _identify(self, upstream: Upstream) -> _Identity:
        """Returns who replies to checks at the address of an upstream.

        Raises:
            ConnectError: if it can't be connected to.
            ExchangeError: without a reply.
        """
        if upstream.started_ms:
            identity = await self._ask_anew(upstream, self._alive_request)
            if identity.is_given:
                return identity
        return await self._ask_anew(upstream, self._health_request)

    async def _ask_anew(
        self,
        upstream: Upstream,
        make_request: Callable[[Upstream], HttpRequest],
    ) -> _Identity:
        """Asks an upstream on another connection until it doesn't refuse.

        It may refuse checks while it is full, or ask for a pause, and is then
        asked again.

        Raises:
            ConnectError: if it can't be connected to.
            ExchangeError: without a reply.
        """
        pause_s = MIN_PAUSE_S
        while True:
            connection = await self._node.pool.acquire(upstream)
            request = make_request(upstream)
            identity = await self._ask(upstream, connection, request)
            self._node.note_reply(upstream, identity.metadata, NO_REQUEST)
            if not identity.is_refusal:
                return identity
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
    ) -> _Identity:
        """Returns what a reply says of its sender; closes the connection.

        Raises:
            ExchangeError: without a whole reply.
        """
        dialect = self._node.dialect
        try:
            response = await self._read_head(upstream, connection, request)
            body = await response.read(MAX_REPORT_BYTES)
        finally:
            connection.close()
        metadata = dialect.read_reply(response.status, response.headers)
        return _Identity(metadata, dialect.read_started_ms(body))

    async def _read_head(
        self,
        upstream: Upstream,
        connection: ClientConnection,
        request: HttpRequest,
    ) -> ClientResponse:
        """Returns the head of a reply.

        It is asked for once the upstream wants requests, on a connection that
        is open by now: a restart meanwhile would end it.

        Raises:
            ExchangeError: without a reply.
        """
        await asyncio.sleep(self._pause_s(upstream))
        await connection.send(request, CHECK_HOST)
        head = await connection.next_event()
        if not isinstance(head, h11.Response):
            raise ExchangeError('no reply to a check')
        return ClientResponse(connection, head)


__all__ = ('IdentityCheck',)
