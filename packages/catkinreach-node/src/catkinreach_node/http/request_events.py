"""The events of a client's requests, as their bytes arrive."""

from __future__ import annotations

import asyncio
from contextlib import nullcontext
from typing import TYPE_CHECKING

import h11

from catkinreach_core.errors import CatkinreachError, ErrorKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .body_memory import BodyHold
    from .socket_input import SocketInput

MAX_LATE_BYTES = 64 * 1024
"""Bytes of a request that are still read once its connection makes room for
another; more than a socket holds unread."""


class RequestEvents:
    """Reads events within their deadlines; owns the HTTP state.

    Attributes:
        protocol: HTTP state of both directions, replaced after a changed limit.
    """

    def __init__(
        self,
        source: SocketInput,
        send_continue: Callable[[], Awaitable[None]],
        max_head_bytes: int,
    ) -> None:
        """Starts before the first request.

        Args:
            source: Input of the connection.
            send_continue: Tells a client that waits for it to send the body.
            max_head_bytes: Largest request head.
        """
        self._source = source
        self._send_continue = send_continue
        self._max_head_bytes = max_head_bytes
        self._wait: asyncio.Timeout | None = None
        self._gives_way = False
        self._late_bytes = 0
        self.protocol = _new_protocol(max_head_bytes)

    @property
    def unread_bytes(self) -> int:
        """Returns the received bytes that aren't part of an event yet."""
        return len(self.protocol.trailing_data[0])

    @property
    def gives_way(self) -> bool:
        """Returns whether the connection makes room for another."""
        return self._gives_way

    def give_way(self) -> None:
        """Ends the wait for the client; what has arrived is still read."""
        self._gives_way = True
        if self._wait is not None and not self._wait.expired():
            self._wait.reschedule(asyncio.get_running_loop().time())

    def apply_head_limit(self, max_head_bytes: int) -> None:
        """Applies a changed size limit to the head that is read next."""
        if max_head_bytes == self._max_head_bytes:
            return
        self._max_head_bytes = max_head_bytes
        received, is_closed = self.protocol.trailing_data
        self.protocol = _new_protocol(max_head_bytes)
        if received:
            self.protocol.receive_data(received)
        if is_closed:
            self.protocol.receive_data(b'')

    async def next_event(
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
        wait = self._wait = asyncio.timeout_at(deadline_s)
        try:
            with nullcontext() if hold is None else hold.waiting(wait):
                chunk = await self._source.read_within(wait)
        finally:
            self._wait = None
        if chunk and self._gives_way:
            self._late_bytes += len(chunk)
        return None if self._late_bytes > MAX_LATE_BYTES else chunk


def _new_protocol(max_head_bytes: int) -> h11.Connection:
    return h11.Connection(
        our_role=h11.SERVER, max_incomplete_event_size=max_head_bytes
    )


__all__ = ('RequestEvents',)
