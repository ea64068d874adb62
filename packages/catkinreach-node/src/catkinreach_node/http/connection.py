"""One connection to an upstream: requests out, the events of responses in."""

from __future__ import annotations

import asyncio
import errno
from contextlib import suppress
from typing import TYPE_CHECKING, TypeAlias

import h11

from .messages import encode_headers

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address

    from .messages import HttpRequest

READ_SIZE_BYTES = 16_384
READ_AHEAD_BYTES = 16_384
"""Received bytes, per connection, from which the socket isn't read further."""

MAX_READ_BYTES = 32_768
"""Most bytes that one read from the socket adds to those."""

LARGE_BODY_BYTES = 64 * 1024
"""Length of a body from which it isn't joined to its head."""

MAX_STATUS = 599

_CHUNK_LINE_END = b'\r\n'
CONNECT_TIMEOUT_S = 1.0
BUSY_LOOP_S = 0.02
"""Time beyond its timeout for a connection that is open already."""

_Streams: TypeAlias = 'tuple[asyncio.StreamReader, asyncio.StreamWriter]'


class ConnectError(Exception):
    """The connection could not be opened; nothing was sent."""


class RefusedError(ConnectError):
    """Nothing listens at the address."""


class ClosedToRequestsError(ConnectError):
    """The upstream leaves, or wants no request for now; nothing was sent."""


class ExchangeError(Exception):
    """The exchange failed after a part of the request may have been sent."""


class ClientConnection:
    """One connection to an upstream; owns its socket."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps an open connection."""
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(our_role=h11.CLIENT)
        self._sent_method = b'GET'
        self._is_used = False
        self._opened_s = asyncio.get_running_loop().time()

    @property
    def opened_s(self) -> float:
        """Returns the monotonic time at which the connection was open."""
        return self._opened_s

    @property
    def is_used(self) -> bool:
        """Returns whether an exchange was completed on the connection."""
        return self._is_used

    @property
    def is_reusable(self) -> bool:
        """Returns whether another request may be sent.

        Bytes that follow a response would be read as the next one.
        """
        unread, _ = self._protocol.trailing_data
        return (
            self._protocol.our_state is h11.IDLE
            and not unread
            and not self._writer.is_closing()
            and not self._reader.at_eof()
            and not self._writer.transport.get_write_buffer_size()
        )

    @classmethod
    async def open(
        cls,
        address: Address,
        *,
        timeout_s: float = CONNECT_TIMEOUT_S,
        local_host: str | None = None,
    ) -> ClientConnection:
        """Opens a connection.

        Args:
            address: Address to connect to.
            timeout_s: Time for the connect.
            local_host: Own address to connect from; ``None`` for any.

        Raises:
            ConnectError: if the connection times out or fails, or there can't
                be such an address; a ``RefusedError`` if nothing listens there.
        """
        opening = asyncio.ensure_future(
            asyncio.open_connection(
                address.host,
                address.port,
                limit=READ_AHEAD_BYTES,
                local_addr=None if local_host is None else (local_host, 0),
            )
        )
        try:
            await _wait_opened(opening, timeout_s)
            reader, writer = opening.result()
        except (OSError, ValueError, OverflowError) as error:
            # The latter two are raised for hosts and ports that can't be.
            kind = RefusedError if _is_refusal(error) else ConnectError
            raise kind(
                f'cannot connect to {address}: {type(error).__name__}'
            ) from error
        except asyncio.CancelledError:
            opening.add_done_callback(_close_opened)
            raise
        finally:
            opening.cancel()
        # asyncio reads up to 256 KiB at once, whatever the read-ahead is.
        writer.transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
        return cls(reader, writer)

    def buffer_requests(self, size_bytes: int) -> None:
        """Lets requests up to a size be sent without waiting for the upstream.

        An upstream may answer before it has read the whole request. A sender
        that waits for it to read the rest would never see that answer.
        """
        self._writer.transport.set_write_buffer_limits(high=size_bytes)

    async def send(self, request: HttpRequest, host: str) -> None:
        """Sends a whole request, with ``host`` as its default Host header."""
        headers = [
            ('content-length', str(len(request.body))),
            *request.headers,
        ]
        if request.header('host') is None:
            headers.insert(0, ('host', host))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=encode_headers(headers),
        )
        self._sent_method = head.method
        start = self._protocol.send(head) or b''
        if len(request.body) > LARGE_BODY_BYTES:
            # Joined to the head, the body would be copied once more.
            self._writer.write(start)
            start = b''
        if request.body:
            start += self._protocol.send(h11.Data(data=request.body)) or b''
        self._protocol.send(h11.EndOfMessage())
        self._writer.write(start)
        await self._writer.drain()

    async def skip_response(self, max_bytes: int) -> None:
        """Reads and discards the rest of a response to another request.

        The state of the connection is then as after sending the request, so
        that the next response is read as the response to it.

        Raises:
            ExchangeError: if the connection closes before the response ends,
                or the body is longer than ``max_bytes``.
        """
        is_body_complete = False
        size_bytes = 0
        while not is_body_complete:
            data, is_body_complete = await self.next_data()
            size_bytes += len(data)
            if size_bytes > max_bytes:
                raise ExchangeError(f'response of over {max_bytes} bytes')
        rest, _ = self._protocol.trailing_data
        self._protocol = h11.Connection(our_role=h11.CLIENT)
        # The response depends on the method only.
        self._protocol.send(
            h11.Request(
                method=self._sent_method, target=b'/', headers=[(b'host', b'')]
            )
        )
        self._protocol.send(h11.EndOfMessage())
        if rest:
            self._protocol.receive_data(rest)

    async def wait_for_input_or_close(self) -> None:
        """Waits until the upstream closes an idle connection or sends data."""
        with suppress(OSError):
            await self._reader.read(READ_SIZE_BYTES)

    async def has_input_or_close(self) -> bool:
        """Returns whether an idle connection was closed or has received data.

        The data belongs to no request that is still waiting.
        """
        wait = asyncio.ensure_future(self.wait_for_input_or_close())
        try:
            await asyncio.wait({wait}, timeout=0)
        finally:
            wait.cancel()
        await asyncio.wait({wait})
        return not wait.cancelled()

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event of the response.

        Raises:
            ExchangeError: if its status is none of HTTP.
        """
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Response) and (
                event.status_code > MAX_STATUS
            ):
                raise ExchangeError(f'response with status {event.status_code}')
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            self._protocol.receive_data(
                await self._reader.read(READ_SIZE_BYTES)
            )

    async def next_data(self) -> tuple[bytes, bool]:
        """Returns the data that has arrived and whether the body is complete.

        Raises:
            ExchangeError: if the connection closes before the body ends.
        """
        parts: list[bytes] = []
        has_input_ended = False
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                if self._has_consumed_input(event):
                    return b''.join(parts), False
            elif isinstance(event, h11.EndOfMessage):
                if has_input_ended:
                    await self._wait_sent()
                return b''.join(parts), True
            elif event is not h11.NEED_DATA:
                raise ExchangeError('response is incomplete or malformed')
            elif parts:
                return b''.join(parts), False
            else:
                received = await self._reader.read(READ_SIZE_BYTES)
                has_input_ended = not received
                self._protocol.receive_data(received)

    async def _wait_sent(self) -> None:
        """Waits until the upstream has taken the whole request.

        A body that ends with the input of its connection isn't whole if the
        connection is reset while the request is still being sent.

        Raises:
            ExchangeError: if it is.
        """
        self._writer.transport.set_write_buffer_limits(high=0)
        try:
            await self._writer.drain()
        except OSError as error:
            raise ExchangeError(
                'connection reset during the request'
            ) from error

    def _has_consumed_input(self, event: h11.Data) -> bool:
        """Returns whether at most the CRLF that ends the chunk is unread."""
        received, _ = self._protocol.trailing_data
        return bool(event.chunk_end) and len(received) <= len(_CHUNK_LINE_END)

    def finish(self) -> None:
        """Prepares the connection for another request, or closes it.

        It is closed unless request and response are both complete.
        """
        if self._protocol.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            self._protocol.start_next_cycle()
            self._is_used = True
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def _wait_opened(
    opening: asyncio.Future[_Streams], timeout_s: float
) -> None:
    """Waits for a connection to open.

    A busy event loop may notice the end of the time before it notices that the
    connection is open, so it gets a moment more.

    Raises:
        TimeoutError: if it doesn't open in time.
    """
    for limit_s in (timeout_s, BUSY_LOOP_S):
        await asyncio.wait({opening}, timeout=limit_s)
        if opening.done():
            return
    raise TimeoutError


def _is_refusal(error: Exception) -> bool:
    """Returns whether an error says that nothing listens.

    With several addresses of a host asyncio raises one error for all, which
    names the number of each only in its text.
    """
    is_joined = isinstance(error, OSError) and error.errno is None
    return isinstance(error, ConnectionRefusedError) or (
        is_joined and f'[Errno {errno.ECONNREFUSED}]' in str(error)
    )


def _close_opened(opening: asyncio.Future[_Streams]) -> None:
    """Closes a connection that nobody waits for any more."""
    if not opening.cancelled() and opening.exception() is None:
        _, writer = opening.result()
        writer.close()


__all__ = (
    'ClientConnection',
    'ClosedToRequestsError',
    'ConnectError',
    'ExchangeError',
    'RefusedError',
)
