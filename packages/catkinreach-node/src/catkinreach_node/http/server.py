"""HTTP server with one task for each connection."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import h11
from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.gateway.connection_crowds import choose_replaced

from .body_memory import BodyMemory
from .bounded_streams import BoundedServer
from .connection_end import ignore_unanswered
from .server_bounds import RequestCounter, ServerBounds
from .server_connection import ServerConnection

if TYPE_CHECKING:
    import ssl

    from catkinreach_core.settings.node import Address

    from .connection_end import UnansweredObserver
    from .server_connection import RequestHandler


MAX_REFUSING = 200
"""Connections beyond the bound that are refused with a response at a time."""

REFUSING_SHARE = 0.25
"""The same, as a part of the bound on connections."""

MIN_REFUSING = 8

CROWD_LOG_INTERVAL_S = 5.0
"""Time between two log lines on places that are all taken."""

ACCEPT_TURNS = 8
"""Turns of the event loop in which the task of an accepted connection begins;
without TLS it took five at most."""


class HttpServer:
    """HTTP server on one listening address."""

    def __init__(
        self,
        serve: RequestHandler,
        *,
        name: str,
        bounds: ServerBounds | None = None,
        memory: BodyMemory | None = None,
        on_unanswered: UnansweredObserver = ignore_unanswered,
    ) -> None:
        """Creates the server.

        Args:
            serve: Handler of its requests.
            name: Prefix of its log lines.
            bounds: Timeouts and size limits.
            memory: Memory for the bodies of all clients.
            on_unanswered: Told of each request that gets no whole response.
        """
        self._memory = memory or BodyMemory()
        self._serve = serve
        self._on_unanswered = on_unanswered
        self._name = name
        self._bounds = bounds or ServerBounds()
        self._server: BoundedServer | None = None
        self._connections: set[ServerConnection] = set()
        # These made room for others; a request may have arrived on one.
        self._replaced: set[ServerConnection] = set()
        self._request_counter = RequestCounter()
        self._refusing_count = 0
        self._replaced_count = 0
        self._refused_count = 0
        self._crowd_logged_s = -math.inf
        self._is_draining = False
        self._is_stopping = False
        self._all_closed = asyncio.Event()
        self._all_closed.set()

    @property
    def request_counter(self) -> RequestCounter:
        """Returns the counter of requests in flight."""
        return self._request_counter

    @property
    def is_listening(self) -> bool:
        """Returns whether clients can connect."""
        return self._server is not None and self._server.is_serving

    @property
    def connection_count(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections)

    @property
    def replaced_count(self) -> int:
        """Returns the number of connections that made room for others."""
        return self._replaced_count

    @property
    def refused_count(self) -> int:
        """Returns the number of connections refused for want of room."""
        return self._refused_count

    @property
    def _open_connections(self) -> tuple[ServerConnection, ...]:
        """Returns all connections that have not ended."""
        return (*self._connections, *self._replaced)

    async def start(
        self, address: Address, tls: ssl.SSLContext | None = None
    ) -> None:
        """Starts listening on the address, with TLS if a context is given."""
        server = BoundedServer(self._accept, tls)
        await server.start(address)
        self._server = server
        logger.info('{}: listening on {}.', self._name, address)

    async def stop_accepting(self) -> None:
        """Closes the listening socket; clients that connected are served.

        Their responses tell that the connection closes.
        """
        self.announce_stop()
        if self._server is not None:
            await self._server.stop()

    def set_bounds(self, bounds: ServerBounds) -> None:
        """Sets the bounds; open connections follow them, too."""
        self._bounds = bounds

    def announce_stop(self) -> None:
        """Lets responses tell that their connection closes, and closes it."""
        self._is_stopping = True

    def close_idle_connections(self) -> None:
        """Closes idle connections now, the others after their response.

        Requests that have arrived are still served: wait for
        ``wait_connections_closed`` before ``close``.
        """
        self._is_draining = True
        self._is_stopping = True
        for connection in self._open_connections:
            connection.close_if_idle()

    async def wait_connections_closed(self) -> None:
        """Waits until no connection is open, nor one that was just accepted.

        An accepted connection counts as open some turns of the event loop
        later, when its task begins.
        """
        turns = 0
        while turns < ACCEPT_TURNS:
            await self._all_closed.wait()
            await asyncio.sleep(0)
            turns = 0 if self._open_connections else turns + 1

    def close(self) -> None:
        """Closes the listening socket and every connection."""
        if self._server is not None:
            self._server.close()
        for connection in self._open_connections:
            connection.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = ServerConnection(
            reader,
            writer,
            self._serve,
            lambda: self._bounds,
            self._request_counter,
            self._memory,
            is_draining=lambda: self._is_draining,
            is_stopping=lambda: self._is_stopping,
            on_unanswered=self._on_unanswered,
        )
        try:
            await self._serve_or_refuse(connection)
        except (OSError, h11.ProtocolError):
            logger.debug(
                '{}: client closed the connection or violated HTTP.', self._name
            )
        except asyncio.CancelledError:
            # Nothing awaits this task, and asyncio's stream callback would
            # report its cancellation as an unhandled exception.
            logger.debug(
                '{}: connection closed by the shutdown of the server.',
                self._name,
            )
        finally:
            connection.close()
            self._discard(connection)

    async def _serve_or_refuse(self, connection: ServerConnection) -> None:
        """Serves a connection if there is room for it."""
        if not self._make_room():
            await self._refuse(connection)
            return
        self._connections.add(connection)
        self._all_closed.clear()
        await connection.run()

    def _make_room(self) -> bool:
        """Returns whether there is room for one more connection.

        When all places are taken, one that makes no progress is closed.
        """
        if len(self._connections) < self._bounds.max_connections:
            return True
        replaced = choose_replaced(
            ((one, one.state) for one in self._connections),
            asyncio.get_running_loop().time(),
        )
        if replaced is None:
            return False
        self._replaced_count += 1
        self._log_crowd()
        replaced.give_way()
        self._connections.discard(replaced)
        self._replaced.add(replaced)
        return True

    def _log_crowd(self) -> None:
        """Logs that all places are taken, once a span."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._crowd_logged_s + CROWD_LOG_INTERVAL_S:
            return
        self._crowd_logged_s = now_s
        logger.warning(
            '{}: all {} places taken; {} connections made room and {} were'
            ' refused so far.',
            self._name,
            self._bounds.max_connections,
            self._replaced_count,
            self._refused_count,
        )

    @property
    def _max_refusing(self) -> int:
        """Returns the number of connections refused at a time."""
        share = int(self._bounds.max_connections * REFUSING_SHARE)
        return max(MIN_REFUSING, min(MAX_REFUSING, share))

    async def _refuse(self, connection: ServerConnection) -> None:
        """Refuses a connection; too many at a time are only closed."""
        self._refusing_count += 1
        self._refused_count += 1
        self._log_crowd()
        try:
            if self._refusing_count <= self._max_refusing:
                await connection.refuse(
                    CatkinreachError(ErrorKind.CONNECTIONS_FULL)
                )
        finally:
            self._refusing_count -= 1
            connection.close()

    def _discard(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        self._replaced.discard(connection)
        if not self._open_connections:
            self._all_closed.set()


__all__ = ('HttpServer',)
