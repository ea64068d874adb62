"""HTTP client with a pool of keep-alive connections for each address."""

from __future__ import annotations

from collections import defaultdict, deque
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import h11
import msgspec

from .connection import ClientConnection, ExchangeError
from .messages import (
    JSON_TYPE,
    STATUSES_WITHOUT_BODY,
    Headers,
    HttpRequest,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from catkinreach_core.settings.node import Address

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Longest body that is read as a whole, unless the caller has a bound."""

MAX_IDLE_CONNECTIONS = 32


class ClientResponse:
    """Head of a response and its body as it arrives."""

    def __init__(
        self, connection: ClientConnection, head: h11.Response
    ) -> None:
        """Takes the response head; the body is read on demand."""
        self._connection = connection
        self.status: int = head.status_code
        self.headers: Headers = [
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in head.headers
        ]

    def header(self, name: str) -> str | None:
        """Returns the first header of a lower-case name, if present."""
        return next(
            (
                value
                for header_name, value in self.headers
                if header_name == name
            ),
            None,
        )

    @property
    def ends_with_connection(self) -> bool:
        """Returns whether the end of the body is that of the connection."""
        names = {name for name, _ in self.headers}
        return (
            names.isdisjoint({'content-length', 'transfer-encoding'})
            and self.status not in STATUSES_WITHOUT_BODY
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives, one chunk for each socket read.

        Raises:
            ExchangeError: if the connection closes before the body ends.
        """
        is_body_complete = False
        while not is_body_complete:
            try:
                chunk, is_body_complete = await self._connection.next_data()
            except (OSError, h11.RemoteProtocolError) as error:
                raise ExchangeError(
                    'response is incomplete or malformed'
                ) from error
            if chunk:
                yield chunk

    async def read(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Returns the whole body.

        Raises:
            ExchangeError: if the connection closes before the body ends, or the
                body is longer than ``max_bytes``.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise ExchangeError(f'response of over {max_bytes} bytes')
        return bytes(body)


class HttpClient:
    """Sends requests and reuses idle connections."""

    def __init__(self) -> None:
        """Starts without connections."""
        self._idle: defaultdict[Address, deque[ClientConnection]] = defaultdict(
            deque
        )
        self._is_closed = False

    @asynccontextmanager
    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        is_new_connection: bool = False,
        before_send: Callable[[], Awaitable[None]] | None = None,
    ) -> AsyncIterator[ClientResponse]:
        """Sends a request and yields the response.

        Args:
            address: Address of the upstream.
            request: The whole request.
            is_new_connection: Whether to use a new connection, for this
                request only. A response names no request, so on a kept
                connection a faulty upstream's earlier response can't be told
                from the reply. A request on an idle connection also fails if
                the upstream is just closing the connection, which looks like
                a lost request.
            before_send: Awaited once the connection is open.

        Raises:
            ConnectError: if nothing was sent.
            ExchangeError: if a part of the request may have been sent.
        """
        connection = await self._connect(
            address, is_new_connection=is_new_connection
        )
        may_keep = False
        try:
            if before_send is not None:
                await before_send()
            try:
                await connection.send(request, str(address))
                head = await connection.next_event()
            except (OSError, h11.ProtocolError) as error:
                raise ExchangeError(
                    f'no valid response from {address}'
                ) from error
            if not isinstance(head, h11.Response):
                raise ExchangeError(f'no valid response from {address}')
            yield ClientResponse(connection, head)
            may_keep = not is_new_connection
        finally:
            self._release(address, connection, may_keep=may_keep)

    async def check_connect(self, address: Address) -> None:
        """Opens a connection and closes it.

        Raises:
            ConnectError: if it can't be opened.
        """
        connection = await ClientConnection.open(address)
        connection.close()

    async def call_json(
        self,
        address: Address,
        method: str,
        target: str,
        document: object = None,
        *,
        headers: Headers | None = None,
    ) -> tuple[int, bytes]:
        """Sends a JSON document; returns the status and the undecoded body."""
        body = b'' if document is None else msgspec.json.encode(document)
        request = HttpRequest(
            method=method,
            target=target,
            headers=[('content-type', JSON_TYPE), *(headers or [])],
            body=body,
        )
        return await self.call_raw(address, request)

    async def call_raw(
        self, address: Address, request: HttpRequest
    ) -> tuple[int, bytes]:
        """Sends a request; returns the status and the undecoded body."""
        async with self.exchange(address, request) as response:
            return response.status, await response.read()

    def close(self) -> None:
        """Closes every idle connection, and the others after their calls."""
        self._is_closed = True
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _connect(
        self, address: Address, *, is_new_connection: bool
    ) -> ClientConnection:
        idle = self._idle[address]
        while idle and not is_new_connection:
            connection = idle.pop()
            if await _can_be_reused(connection):
                return connection
        return await ClientConnection.open(address)

    def _release(
        self,
        address: Address,
        connection: ClientConnection,
        *,
        may_keep: bool,
    ) -> None:
        if may_keep:
            connection.finish()
        else:
            connection.close()
        idle = self._idle[address]
        has_room = not self._is_closed and len(idle) < MAX_IDLE_CONNECTIONS
        if has_room and connection.is_reusable:
            idle.append(connection)
        else:
            connection.close()


async def _can_be_reused(connection: ClientConnection) -> bool:
    """Returns whether another request may be sent; closes it otherwise."""
    is_reusable = False
    try:
        is_reusable = (
            connection.is_reusable and not await connection.has_input_or_close()
        )
    finally:
        if not is_reusable:
            connection.close()
    return is_reusable


__all__ = ('ClientResponse', 'HttpClient')
