"""Pool of connections to upstreams that are reused between requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from catkinreach_core.gateway.upstream_reach import UpstreamReach

from ..http.connection import ClientConnection, ConnectError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

CONNECT_TIMEOUT_S = 0.15
MAX_IDLE_CONNECTIONS = 16
"""Maximum number of idle connections to one upstream."""

DEFAULT_IDLE_S = 30.0
"""Idle time of a connection if the upstream gives no keep-alive timeout."""

IDLE_MARGIN_S = 0.7
"""Time before the upstream's keep-alive timeout in which a connection isn't
reused."""

MAX_BUFFERED_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class _IdleConnection:
    connection: ClientConnection
    reusable_until_s: float
    watch: asyncio.Task[None]


class UpstreamPool:
    """Owns the idle connections to all upstreams."""

    def __init__(
        self, clock: Callable[[], float], reach: UpstreamReach | None = None
    ) -> None:
        """Starts without connections.

        Args:
            clock: Monotonic clock.
            reach: Told which connects succeed.
        """
        self._clock = clock
        self._reach = reach or UpstreamReach()
        self._idle: dict[UpstreamId, list[_IdleConnection]] = {}
        self._is_closed = False
        self.opened_count = 0

    async def acquire(self, upstream: Upstream) -> ClientConnection:
        """Returns an idle connection or opens one.

        Raises:
            ConnectError: if the upstream doesn't accept.
        """
        idle = self._idle.get(upstream.upstream_id, [])
        while idle:
            connection = await self._take(idle.pop())
            if connection is not None:
                return connection
        return await self._open(upstream)

    async def take_older(
        self, upstream: Upstream, than_s: float
    ) -> ClientConnection | None:
        """Returns an idle connection opened before a time, if there's one."""
        idle = self._idle.get(upstream.upstream_id, [])
        while entry := _first_older(idle, than_s):
            idle.remove(entry)
            connection = await self._take(entry)
            if connection is not None:
                return connection
        return None

    async def probe(self, upstream: Upstream) -> None:
        """Opens a connection and adds it to the idle ones.

        Raises:
            ConnectError: if the upstream doesn't accept.
        """
        connection = await self._open(upstream)
        self._keep_idle(upstream.upstream_id, connection, None)

    async def check_reach(self, upstream: Upstream) -> None:
        """Opens a connection and closes it.

        An idle one would stand for what the upstream was when it was opened.

        Raises:
            ConnectError: if the upstream doesn't accept.
        """
        connection = await self._open(upstream)
        connection.close()

    def release(
        self,
        upstream_id: UpstreamId,
        connection: ClientConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """Returns a connection to the pool after a complete exchange."""
        connection.finish()
        self._keep_idle(upstream_id, connection, idle_timeout_s)

    def release_unused(
        self, upstream_id: UpstreamId, connection: ClientConnection
    ) -> None:
        """Returns a connection on which nothing was sent.

        One that was used is closed: its idle timeout has run on.
        """
        if connection.is_used:
            connection.close()
            return
        self._keep_idle(upstream_id, connection, None)

    def drop(self, upstream_id: UpstreamId) -> None:
        """Closes the idle connections to a removed upstream."""
        for entry in self._idle.pop(upstream_id, []):
            entry.watch.cancel()
            entry.connection.close()

    def drop_all(self) -> None:
        """Closes the idle connections to all upstreams."""
        for upstream_id in tuple(self._idle):
            self.drop(upstream_id)

    def close(self) -> None:
        """Closes every idle connection, and the others after their use."""
        self._is_closed = True
        self.drop_all()

    async def _take(self, entry: _IdleConnection) -> ClientConnection | None:
        """Ends the watch of a connection; closes it if it can't be reused."""
        connection = entry.connection
        is_reusable = False
        try:
            entry.watch.cancel()
            await asyncio.wait({entry.watch})
            is_reusable = (
                connection.is_reusable
                and self._clock() < entry.reusable_until_s
            )
        finally:
            if not is_reusable:
                connection.close()
        return connection if is_reusable else None

    async def _open(self, upstream: Upstream) -> ClientConnection:
        try:
            connection = await ClientConnection.open(
                upstream.address, timeout_s=CONNECT_TIMEOUT_S
            )
        except ConnectError:
            self._reach.record_failed(upstream.upstream_id)
            raise
        self._reach.record_reached()
        self.opened_count += 1
        connection.buffer_requests(MAX_BUFFERED_BYTES)
        return connection

    def _keep_idle(
        self,
        upstream_id: UpstreamId,
        connection: ClientConnection,
        idle_timeout_s: float | None,
    ) -> None:
        idle = self._idle.setdefault(upstream_id, [])
        has_room = not self._is_closed and len(idle) < MAX_IDLE_CONNECTIONS
        if not has_room or not connection.is_reusable:
            connection.close()
            return
        lifetime_s = DEFAULT_IDLE_S
        if idle_timeout_s is not None:
            lifetime_s = idle_timeout_s - IDLE_MARGIN_S
        watch = asyncio.ensure_future(self._watch(upstream_id, connection))
        reusable_until_s = self._clock() + lifetime_s
        idle.append(_IdleConnection(connection, reusable_until_s, watch))

    async def _watch(
        self, upstream_id: UpstreamId, connection: ClientConnection
    ) -> None:
        """Closes an idle connection that the upstream closes or writes to."""
        await connection.wait_for_input_or_close()
        connection.close()
        idle = self._idle.get(upstream_id, [])
        idle[:] = [
            entry for entry in idle if entry.connection is not connection
        ]


def _first_older(
    idle: list[_IdleConnection], than_s: float
) -> _IdleConnection | None:
    """Returns the first idle connection opened before a time, if any."""
    older = (entry for entry in idle if entry.connection.opened_s < than_s)
    return next(older, None)


__all__ = ('CONNECT_TIMEOUT_S', 'UpstreamPool')
