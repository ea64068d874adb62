"""Lets peers pass requests on to upstreams that this VM doesn't reach."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from catkinreach_core.gateway.relay_choice import RelayChoice
from catkinreach_core.settings.node import Address

from ..http.client import ClientResponse
from ..http.connection import (
    ClientConnection,
    ClosedToRequestsError,
    ConnectError,
    ExchangeError,
    RefusedError,
)
from .decision_log import Event
from .exchange import Reply, next_final_head
from .relay_messages import (
    RelayOutcome,
    probe_request,
    read_outcome,
    unwrap_reply_headers,
    wrap_request,
)
from .upstream_pool import CONNECT_TIMEOUT_S, MAX_BUFFERED_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import RequestId

    from ..http.messages import HttpRequest
    from .node import Node

PROBE_TIMEOUT_S = 1.0
"""Time in which peers tell whether they reach an upstream."""

_CONNECT_ERRORS = {
    RelayOutcome.UNREACHABLE: ConnectError,
    RelayOutcome.NOT_LISTENING: RefusedError,
    RelayOutcome.CLOSED: ClosedToRequestsError,
}


class RelayLink:
    """Sends requests for upstreams to peers that reach these."""

    def __init__(self, node: Node) -> None:
        """Prepares the link of one node."""
        self._node = node
        self._choice = RelayChoice(node.rng.random)

    @property
    def has_peers(self) -> bool:
        """Returns whether a peer may reach upstreams."""
        return bool(self._usable_peers())

    async def exchange(
        self,
        upstream: Upstream,
        request: HttpRequest,
        request_id: RequestId,
        on_sending: Callable[[], None],
    ) -> Reply:
        """Sends a request through a peer and returns the head of its reply.

        Args:
            upstream: Upstream that the request is for.
            request: Request for it.
            request_id: Id that the reply must repeat.
            on_sending: Called before a peer gets the request.

        Raises:
            ConnectError: nothing was sent to the upstream; a
                ``ClosedToRequestsError`` if it takes no requests.
            ExchangeError: the request may have run.
        """
        sent_s = self._node.clock()
        on_sending()
        connection, response = await self._ask_peers(
            upstream, wrap_request(request, upstream), RelayOutcome.REPLIED
        )
        headers = unwrap_reply_headers(response.headers)
        metadata = self._node.dialect.read_reply(response.status, headers)
        self._node.note_reply(upstream, metadata, request_id)
        return Reply(
            self._node,
            upstream,
            connection,
            response.status,
            headers,
            metadata,
            sent_s,
            is_relayed=True,
        )

    async def probe(self, upstream: Upstream) -> None:
        """Lets a peer connect to an upstream.

        Raises:
            ConnectError: if none can.
        """
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection, _ = await self._ask_peers(
                    upstream, probe_request(upstream), RelayOutcome.REACHED
                )
        except (ExchangeError, TimeoutError) as error:
            raise ConnectError(str(error) or 'no answer of a peer') from error
        connection.close()

    async def _ask_peers(
        self, upstream: Upstream, request: HttpRequest, expected: RelayOutcome
    ) -> tuple[ClientConnection, ClientResponse]:
        """Returns the first answer of a peer that passed a request on.

        Args:
            upstream: Upstream that the request is for.
            request: Request with its target.
            expected: Outcome of a request that succeeds.

        Raises:
            ConnectError: if nothing was sent to the upstream.
            ExchangeError: if the request may have run.
        """
        node = self._node
        departures = node.shutdown.departures
        nearby = departures.in_domain(node.settings.domain_id)
        for peer in self._choice.order(
            self._usable_peers(), nearby, node.clock()
        ):
            answer = await self._ask(peer, request, expected)
            if answer is not None:
                node.metrics.count_relayed()
                return answer
            self._choice.avoid(peer, node.clock())
        raise ConnectError(f'no peer reaches {upstream.address}')

    def _usable_peers(self) -> list[str]:
        """Returns the responsive peers that may reach upstreams."""
        reports = self._node.peer_reports
        unusable = reports.stopping | reports.cut_off
        return [
            peer
            for peer in self._node.members.responsive(self._node.clock())
            if peer not in unusable
        ]

    async def _ask(
        self, peer: str, request: HttpRequest, expected: RelayOutcome
    ) -> tuple[ClientConnection, ClientResponse] | None:
        """Returns a peer's answer; ``None`` if it couldn't pass it on.

        Raises:
            ConnectError: if nothing was sent to the upstream.
            ExchangeError: if the request may have run.
        """
        settings = self._node.settings
        address = Address(host=peer, port=settings.peer_address.port)
        try:
            connection = await ClientConnection.open(
                address,
                timeout_s=CONNECT_TIMEOUT_S,
                local_host=settings.host,
            )
        except ConnectError as error:
            self._log(peer, request, 'peer-unreachable', str(error))
            return None
        is_answered = False
        try:
            response = await self._read_answer(connection, request, address)
            outcome = read_outcome(response.status, response.headers)
            is_answered = outcome is expected
        finally:
            if not is_answered:
                connection.close()
        if is_answered:
            return connection, response
        self._log(peer, request, outcome.value)
        if outcome is RelayOutcome.NO_PATH:
            return None
        error_type = _CONNECT_ERRORS.get(outcome, ExchangeError)
        raise error_type(f'{outcome.value} by the peer {peer}')

    async def _read_answer(
        self,
        connection: ClientConnection,
        request: HttpRequest,
        address: Address,
    ) -> ClientResponse:
        """Sends a request to a peer and returns the head of its answer.

        Raises:
            ExchangeError: if there is none.
        """
        connection.buffer_requests(MAX_BUFFERED_BYTES)
        try:
            await connection.send(request, str(address))
            head = await next_final_head(connection)
        except (OSError, h11.ProtocolError) as error:
            raise ExchangeError(f'no reply from the peer {address}') from error
        if not isinstance(head, h11.Response):
            raise ExchangeError(f'no reply from the peer {address}')
        return ClientResponse(connection, head)

    def _log(
        self, peer: str, request: HttpRequest, outcome: str, detail: str = ''
    ) -> None:
        metadata = self._node.dialect.read_request(request)
        self._node.log.write(
            Event.RELAY_FAILED,
            request=metadata.request_id,
            peer=peer,
            outcome=outcome,
            detail=detail,
        )


__all__ = ('RelayLink',)
