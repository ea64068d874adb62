"""Passes requests on for peers that reach no upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..http.connection import (
    ClosedToRequestsError,
    ConnectError,
    ExchangeError,
    RefusedError,
)
from .exchange import exchange
from .relay_messages import (
    UPSTREAM_HEADER,
    RelayAction,
    RelayOutcome,
    RelayTarget,
    outcome_response,
    unwrap_request,
    wrap_reply,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_core.gateway.upstream import Upstream

    from ..http.messages import HttpRequest, HttpResponse
    from .exchange import Reply
    from .node import Node

MAX_REPLY_WAIT_S = 60.0
"""Longest wait for the head of a reply to a request without a deadline."""


class RelayServer:
    """Sends peers' requests to upstreams, and passes the replies on.

    The peer decides what is sent where; this node only keeps to what it knows
    of the upstream itself. A request isn't passed on twice.
    """

    def __init__(self, node: Node) -> None:
        """Prepares the server of one node."""
        self._node = node

    def is_for_upstream(self, request: HttpRequest) -> bool:
        """Returns whether a peer's request is to be passed on."""
        return request.header(UPSTREAM_HEADER) is not None

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Passes a request on and returns the upstream's reply."""
        node = self._node
        if request.client_host not in node.members.contacts:
            return outcome_response(RelayOutcome.NO_PATH, 'not a peer')
        target = RelayTarget.from_text(request.header(UPSTREAM_HEADER) or '')
        upstream = None if target is None else self._find_upstream(target)
        if target is None or upstream is None or node.reach.is_cut_off:
            return outcome_response(RelayOutcome.NO_PATH)
        try:
            if target.action is RelayAction.CONNECT:
                await node.pool.probe(upstream)
                return outcome_response(RelayOutcome.REACHED)
            return await self._pass_on(request, upstream)
        except ClosedToRequestsError as error:
            return outcome_response(RelayOutcome.CLOSED, str(error))
        except ConnectError as error:
            return await self._unreachable(upstream, error)
        except (ExchangeError, TimeoutError) as error:
            return outcome_response(RelayOutcome.BROKEN, str(error))

    def _find_upstream(self, target: RelayTarget) -> Upstream | None:
        """Returns the incarnation that a request is for, if it is known."""
        known = self._node.view.find_upstream(target.upstream_id)
        if known is None or known.upstream.started_ms != target.started_ms:
            return None
        return known.upstream

    async def _pass_on(
        self, request: HttpRequest, upstream: Upstream
    ) -> HttpResponse:
        """Returns the upstream's reply.

        Raises:
            ConnectError: if nothing was sent.
            ExchangeError: if the request may have run.
            TimeoutError: at its deadline.
        """
        metadata = self._node.dialect.read_request(request)
        wait_s = MAX_REPLY_WAIT_S
        if metadata.deadline_s is not None:
            wait_s = min(wait_s, metadata.deadline_s)
        async with asyncio.timeout(wait_s):
            reply = await exchange(
                self._node,
                upstream,
                unwrap_request(request),
                metadata.request_id,
            )
        return wrap_reply(reply.status, reply.headers, _RelayedBody(reply))

    async def _unreachable(
        self, upstream: Upstream, error: ConnectError
    ) -> HttpResponse:
        if await self._node.paths.is_cut_off(is_suspected=True):
            return outcome_response(RelayOutcome.NO_PATH, str(error))
        self._node.checks.check_silent(upstream)
        if isinstance(error, RefusedError):
            return outcome_response(RelayOutcome.NOT_LISTENING, str(error))
        return outcome_response(RelayOutcome.UNREACHABLE, str(error))


class _RelayedBody:
    """Body of a reply as it arrives; owns the upstream's connection."""

    def __init__(self, reply: Reply) -> None:
        """Takes over a reply whose body isn't read yet."""
        self._reply = reply
        self._is_released = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the iterator over the body's chunks."""
        return self._chunks()

    async def aclose(self) -> None:
        """Closes the connection unless the whole body was read."""
        if not self._is_released:
            self._reply.abort()

    async def _chunks(self) -> AsyncIterator[bytes]:
        """Yields the body.

        Raises:
            ConnectionAbortedError: if it isn't complete.
        """
        reply = self._reply
        is_complete = False
        try:
            while not is_complete:
                data, is_complete = await reply.next_data()
                if data:
                    yield data
            self._is_released = True
            reply.release()
            if not reply.metadata.has_not_run:
                await reply.check_end()
        except ExchangeError as error:
            raise ConnectionAbortedError(str(error)) from error


__all__ = ('RelayServer',)
