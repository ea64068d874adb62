"""Reads the requests of one connection, within the server's bounds."""

from __future__ import annotations

import asyncio
from contextlib import nullcontext
from typing import TYPE_CHECKING

import h11

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.gateway.connection_crowds import (
    ConnectionState,
    Waiting,
)

from .body_memory import SMALL_BODY_BYTES, STEP_BYTES, BodyHold
from .head_checks import check_head, content_length
from .idle_wait import IdleWait
from .messages import HttpRequest
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

MAX_LATE_BYTES = 64 * 1024
"""Bytes of a request that are still read once its connection makes room for
another; more than a socket holds unread."""

STOP_FIRST_REQUEST_S = 0.3
"""Time for the first request of a connection while the server drains: a client
that has just connected is about to send it."""


class RequestReader:
    """Reads requests; owns the HTTP state of the connection.

    Attributes:
        protocol: HTTP state of both directions, replaced after a changed limit.
    """

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
        self._send_continue = send_continue
        self._memory = memory
        self._idle_wait: IdleWait | None = None
        self._input_wait: asyncio.Timeout | None = None
        self._gives_way = False
        self._late_bytes = 0
        self._request_began_s: float | None = None
        self._waiting_since_s = asyncio.get_running_loop().time()
        self._hold: BodyHold | None = None
        self._is_first_request = True
        self._lacks_first_request = False
        self._is_head_request = False
        self._max_head_bytes = self._bounds.max_head_bytes
        self.protocol = _new_protocol(self._max_head_bytes)

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
        held_bytes = len(self.protocol.trailing_data[0])
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
        return bool(self.protocol.trailing_data[0])

    @property
    def _bounds(self) -> ServerBounds:
        """Returns the current bounds."""
        return self._read_bounds()

    @property
    def gives_way(self) -> bool:
        """Returns whether the connection makes room for another."""
        return self._gives_way

    def give_way(self) -> None:
        """Ends the waits for the client; what has arrived is still read."""
        self._gives_way = True
        if self._idle_wait is not None:
            self._idle_wait.end()
        wait = self._input_wait
        if wait is not None and not wait.expired():
            wait.reschedule(asyncio.get_running_loop().time())

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
        self._apply_head_limit()
        loop = asyncio.get_running_loop()
        self._request_began_s = loop.time()
        try:
            return await self._read_begun_request()
        finally:
            self._request_began_s = None

    async def _read_begun_request(self) -> HttpRequest | None:
        loop = asyncio.get_running_loop()
        head = await self._next_event(loop.time() + self._bounds.head_timeout_s)
        if not isinstance(head, h11.Request):
            return None
        self._is_head_request = head.method == b'HEAD'
        check_head(head, self._bounds.max_head_fields)
        hold = self._hold = BodyHold(self._memory)
        try:
            body = await self._read_body(head, hold)
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
        ahead_bytes = len(self.protocol.trailing_data[0])
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
        if self._gives_way:
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

    def _apply_head_limit(self) -> None:
        """Applies a changed size limit to the head that is read next."""
        max_head_bytes = self._bounds.max_head_bytes
        if max_head_bytes == self._max_head_bytes:
            return
        self._max_head_bytes = max_head_bytes
        received, is_closed = self.protocol.trailing_data
        self.protocol = _new_protocol(max_head_bytes)
        if received:
            self.protocol.receive_data(received)
        if is_closed:
            self.protocol.receive_data(b'')

    async def _read_body(self, head: h11.Request, hold: BodyHold) -> bytes:
        """Reads a body once there is memory for it.

        Raises:
            CatkinreachError: if it is too large, too slow or malformed, or the
                memory stays full.
        """
        announced = content_length(head)
        await self._reserve(hold, announced)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._bounds.body_timeout_s
        parts: list[bytes] = []
        size = 0
        covered = max(announced, SMALL_BODY_BYTES)
        while True:
            event = await self._next_event(deadline_s, hold)
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise CatkinreachError(ErrorKind.BAD_REQUEST)
            size += len(event.data)
            if size > covered:
                covered = size + STEP_BYTES
                await self._reserve(hold, size, covered)
            parts.append(bytes(event.data))

    async def _reserve(self, hold: BodyHold, size: int, ahead: int = 0) -> None:
        """Reserves memory for a body.

        Args:
            hold: Memory held so far.
            size: Bytes of the body that have arrived, or that it will have.
            ahead: Bytes to reserve if more will come.

        Raises:
            CatkinreachError: if the body is too large, or the memory full.
        """
        if size > self._bounds.max_body_bytes:
            raise CatkinreachError(ErrorKind.TOO_LARGE)
        if not await hold.cover(max(size, ahead)):
            raise CatkinreachError(ErrorKind.MEMORY_FULL)

    async def _next_event(
        self, deadline_s: float, hold: BodyHold | None = None
    ) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event of a request.

        Args:
            deadline_s: Time by which it has to arrive.
            hold: Memory of a body, which others may want meanwhile.

        Raises:
            CatkinreachError: if it hasn't arrived in time.
        """
        while True:
            event = self.protocol.next_event()
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                await self._send_continue()
            chunk = await self._read_more(deadline_s, hold)
            if chunk is None:
                raise CatkinreachError(ErrorKind.TOO_SLOW)
            self.protocol.receive_data(chunk)

    async def _read_more(
        self, deadline_s: float, hold: BodyHold | None
    ) -> bytes | None:
        """Returns the next bytes of a request; ``None`` if they are too late.

        If the connection makes room for another, they must have arrived.
        """
        if self._gives_way:
            deadline_s = asyncio.get_running_loop().time()
        wait = self._input_wait = asyncio.timeout_at(deadline_s)
        try:
            with nullcontext() if hold is None else hold.waiting(wait):
                chunk = await self._input.read_within(wait)
        finally:
            self._input_wait = None
        if chunk and self._gives_way:
            self._late_bytes += len(chunk)
        return None if self._late_bytes > MAX_LATE_BYTES else chunk


def _new_protocol(max_head_bytes: int) -> h11.Connection:
    return h11.Connection(
        our_role=h11.SERVER, max_incomplete_event_size=max_head_bytes
    )


__all__ = ('RequestReader',)
