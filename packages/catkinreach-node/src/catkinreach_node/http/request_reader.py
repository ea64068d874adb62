"""Reads the requests of one connection, within the server's bounds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from catkinreach_core.gateway.connection_crowds import (
    ConnectionState,
    Waiting,
)

from .body_memory import BodyHold
from .body_reader import read_body
from .head_checks import check_head
from .idle_wait import IdleWait
from .messages import HttpRequest
from .request_events import RequestEvents
from .socket_input import READ_SIZE_BYTES, SocketInput

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .body_memory import BodyMemory
    from .server_bounds import ServerBounds

MAX_READ_AHEAD_BYTES = 64 * 1024
"""Bytes of later requests from which a client isn't read further while its
request is served."""

SMALL_READ_AHEAD_BYTES = 4 * 1024
"""Part of them that needs no share of the memory for bodies."""

STOP_FIRST_REQUEST_S = 0.3
"""Time for the first request of a connection while the server drains: a client
that has just connected is about to send it."""


class RequestReader:
    """Reads requests, and what clients send beyond them."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        read_bounds: Callable[[], ServerBounds],
        is_draining: Callable[[], bool],
        send_continue: Callable[[], Awaitable[None]],
        memory: BodyMemory,
        client_host: str = '',
    ) -> None:
        """Wraps the input of an accepted connection.

        Args:
            reader: Input of the connection.
            read_bounds: Returns the current bounds; they may change.
            is_draining: Whether the connection closes when it is idle.
            send_continue: Tells a client that waits for it to send the body.
            memory: Memory for the bodies of all clients.
            client_host: Address of the client; empty if it isn't known.
        """
        self._client_host = client_host
        self._input = SocketInput(reader)
        self._read_bounds = read_bounds
        self._is_draining = is_draining
        self._memory = memory
        self._events = RequestEvents(
            self._input, send_continue, self._bounds.max_head_bytes
        )
        self._idle_wait: IdleWait | None = None
        self._request_began_s: float | None = None
        self._waiting_since_s = asyncio.get_running_loop().time()
        self._hold: BodyHold | None = None
        self._is_first_request = True
        self._lacks_first_request = False
        self._is_head_request = False

    @property
    def protocol(self) -> h11.Connection:
        """Returns the HTTP state of both directions; a limit may replace it."""
        return self._events.protocol

    @property
    def is_head_request(self) -> bool:
        """Returns whether the current request has the method HEAD."""
        return self._is_head_request

    @property
    def state(self) -> ConnectionState:
        """Returns what the connection holds while it reads a request."""
        began_s = self._request_began_s
        if began_s is None and not self._is_first_request:
            return ConnectionState(
                waiting=Waiting.NEXT_REQUEST, since_s=self._waiting_since_s
            )
        held_bytes = self._events.unread_bytes
        if self._hold is not None:
            held_bytes += self._hold.held_bytes
        return ConnectionState(
            waiting=Waiting.CLIENT,
            since_s=self._waiting_since_s if began_s is None else began_s,
            held_bytes=held_bytes,
        )

    @property
    def waiting_since_s(self) -> float:
        """Returns the time since which the next request is waited for."""
        return self._waiting_since_s

    @property
    def lacks_first_request(self) -> bool:
        """Returns whether no byte of a first request came in time."""
        return self._lacks_first_request

    @property
    def has_input(self) -> bool:
        """Returns whether bytes of another request have arrived."""
        return bool(self._events.unread_bytes)

    @property
    def _bounds(self) -> ServerBounds:
        """Returns the current bounds."""
        return self._read_bounds()

    @property
    def gives_way(self) -> bool:
        """Returns whether the connection makes room for another."""
        return self._events.gives_way

    def give_way(self) -> None:
        """Ends the waits for the client; what has arrived is still read."""
        self._events.give_way()
        if self._idle_wait is not None:
            self._idle_wait.end()

    def apply_idle_timeout(self) -> None:
        """Ends the wait for a request if a changed timeout has passed."""
        if self._idle_wait is not None:
            self._idle_wait.apply_timeout()

    def start_next_cycle(self) -> bool:
        """Prepares for another request; ``False`` if there can't be one."""
        protocol = self.protocol
        if not (protocol.our_state is protocol.their_state is h11.DONE):
            return False
        protocol.start_next_cycle()
        self._is_head_request = False
        self._is_first_request = False
        self._waiting_since_s = asyncio.get_running_loop().time()
        return True

    async def read_request(self) -> HttpRequest | None:
        """Returns the next request, ``None`` if the client sends none.

        Raises:
            CatkinreachError: if the request is too slow, too large or invalid.
        """
        if not await self._wait_for_input():
            return None
        self._events.apply_head_limit(self._bounds.max_head_bytes)
        loop = asyncio.get_running_loop()
        self._request_began_s = loop.time()
        try:
            return await self._read_begun_request()
        finally:
            self._request_began_s = None

    async def _read_begun_request(self) -> HttpRequest | None:
        loop = asyncio.get_running_loop()
        head = await self._events.next_event(
            loop.time() + self._bounds.head_timeout_s
        )
        if not isinstance(head, h11.Request):
            return None
        self._is_head_request = head.method == b'HEAD'
        check_head(head, self._bounds.max_head_fields)
        hold = self._hold = BodyHold(self._memory)
        try:
            body = await read_body(self._events, head, hold, self._bounds)
        except BaseException:
            hold.release()
            raise
        finally:
            self._hold = None
        return HttpRequest(
            method=head.method.decode('ascii'),
            target=head.target.decode('latin-1'),
            headers=[
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in head.headers
            ],
            body=body,
            hold=hold,
            client_host=self._client_host,
        )

    async def watch_disconnect(self, hold: BodyHold) -> bool:
        """Returns whether the client disconnects.

        ``False`` if it sends too much beyond its request to be read ahead.

        Args:
            hold: Memory for what is read ahead.
        """
        while room_bytes := self._read_ahead_room(hold):
            chunk = await self._input.read(room_bytes)
            if not chunk:
                return True
            self.protocol.receive_data(chunk)
        return False

    def _read_ahead_room(self, hold: BodyHold) -> int:
        """Returns the number of bytes that may be read ahead next."""
        ahead_bytes = self._events.unread_bytes
        if ahead_bytes < SMALL_READ_AHEAD_BYTES:
            return SMALL_READ_AHEAD_BYTES - ahead_bytes
        room_bytes = min(READ_SIZE_BYTES, MAX_READ_AHEAD_BYTES - ahead_bytes)
        if room_bytes > 0 and hold.try_cover_bytes(ahead_bytes + room_bytes):
            return room_bytes
        return 0

    async def discard_input(self, max_bytes: int) -> None:
        """Reads to the end of the input, or up to a number of bytes."""
        size_bytes = 0
        while size_bytes < max_bytes and (chunk := await self._input.read()):
            size_bytes += len(chunk)

    async def _wait_for_input(self) -> bool:
        """Returns whether bytes, or the end of the input, arrive in time.

        The timeout may change during the wait.
        """
        if self.has_input:
            return True
        chunk = await self._read_first_bytes()
        if chunk is None:
            self._lacks_first_request = self._is_first_request
            return False
        self.protocol.receive_data(chunk)
        return True

    async def _read_first_bytes(self) -> bytes | None:
        self._idle_wait = IdleWait(self._input, self._input_timeout_s)
        if self.gives_way:
            self._idle_wait.end()
        try:
            return await self._idle_wait.first_bytes()
        finally:
            self._idle_wait = None

    def _input_timeout_s(self) -> float:
        bounds = self._bounds
        if self._is_first_request:
            timeout_s = bounds.head_timeout_s
            if self._is_draining():
                timeout_s = min(timeout_s, STOP_FIRST_REQUEST_S)
            return timeout_s
        return 0 if self._is_draining() else bounds.idle_timeout_s


__all__ = ('RequestReader',)
