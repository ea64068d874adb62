"""Sends the responses of one connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import aclosing, suppress
from typing import TYPE_CHECKING

import h11

from .connection_end import BrokenBodyError, ClientStalledError
from .idle_wait import STANDSTILL_S
from .messages import EVENT_STREAM_TYPE, STATUSES_WITHOUT_BODY, encode_headers
from .problem import problem_response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from catkinreach_core.errors import CatkinreachError

    from .messages import BodyStream, Headers, HttpResponse
    from .request_reader import RequestReader
    from .server_bounds import ServerBounds

NO_LINGER = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

ENDED_STATES = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})
"""States of a connection whose last response is whole."""

_EVENT_STREAM_HEADERS = (
    ('content-type', EVENT_STREAM_TYPE),
    ('cache-control', 'no-store'),
)


class ResponseSender:
    """Sends the responses to requests; owns the socket."""

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        requests: RequestReader,
        read_bounds: Callable[[], ServerBounds],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Wraps the output of an accepted connection."""
        self._writer = writer
        self._requests = requests
        self._read_bounds = read_bounds
        self._is_stopping = is_stopping
        self._stalled_since_s: float | None = None
        self._has_begun = False
        self._is_whole = False

    @property
    def stalled_since_s(self) -> float | None:
        """Returns since when it has waited for the client to read."""
        return self._stalled_since_s

    @property
    def unsent_bytes(self) -> int:
        """Returns the bytes that the client hasn't read."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def is_whole(self) -> bool:
        """Returns whether the last response was sent as a whole."""
        return self._is_whole

    @property
    def has_begun(self) -> bool:
        """Returns whether a part of that response was sent."""
        return self._has_begun

    def begin(self) -> None:
        """Begins with a request that has no response yet."""
        self._has_begun = self._is_whole = False

    def abort(self) -> None:
        """Closes the socket at once; what wasn't sent is lost."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Closes the socket.

        It is reset if the body of an unfinished response has no chunks: a
        client would take a closed connection as the end of that body.
        """
        if self._is_body_ended_by_close:
            self._reset()
        else:
            self._writer.close()

    async def end_output(self) -> bool:
        """Ends the output after a whole response; ``False`` without one.

        Waits until responses have left the process, which may end next.

        Raises:
            ClientStalledError: if the client reads too slowly.
        """
        state = self._requests.protocol.our_state
        is_ended = state in ENDED_STATES
        if is_ended or state is h11.IDLE:
            self._writer.transport.set_write_buffer_limits(high=0)
            await self._flush()
        if is_ended and self._writer.can_write_eof():
            self._writer.write_eof()
        return is_ended

    async def send_continue(self) -> None:
        """Tells the client to send the body of its request."""
        await self._send(h11.InformationalResponse(status_code=100, headers=[]))

    async def send_response(self, response: HttpResponse) -> None:
        """Sends a whole response, its stream as it arrives.

        Raises:
            ClientStalledError: if the client reads too slowly.
            BrokenBodyError: if the stream breaks off.
        """
        self.begin()
        if response.stream is not None:
            await self._send_stream(response, response.stream)
        else:
            await self._send_whole(response)
        self._is_whole = True

    async def refuse(self, error: CatkinreachError) -> None:
        """Sends an error response unless a response has already started."""
        state = self._requests.protocol.our_state
        if state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = problem_response(error)
        response.headers.append(('connection', 'close'))
        with suppress(OSError, h11.LocalProtocolError):
            await self.send_response(response)

    @property
    def _is_body_ended_by_close(self) -> bool:
        protocol = self._requests.protocol
        return (
            protocol.our_state is h11.SEND_BODY
            and protocol.their_http_version == b'1.0'
        )

    def _reset(self) -> None:
        """Closes the socket so that the client gets an error."""
        with suppress(OSError):
            self._writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        self._writer.transport.abort()

    async def _send_whole(self, response: HttpResponse) -> None:
        events: list[h11.Event] = [self._head(response)]
        if self._has_body(response):
            events.append(h11.Data(data=response.body))
        await self._send(*events, h11.EndOfMessage())

    async def _send_stream(
        self, response: HttpResponse, stream: BodyStream
    ) -> None:
        """Sends a stream; closes it also if its head can't be sent."""
        async with aclosing(stream) as chunks:
            await self._send(self._head(response))
            if self._has_body(response):
                body = aiter(chunks)
                while (chunk := await _next_chunk(body)) is not None:
                    await self._send(h11.Data(data=chunk))
        await self._send(h11.EndOfMessage())

    def _head(self, response: HttpResponse) -> h11.Response:
        return h11.Response(
            status_code=response.status,
            headers=encode_headers(self._response_headers(response)),
        )

    def _has_body(self, response: HttpResponse) -> bool:
        if self._requests.is_head_request:
            return False
        return response.status not in STATUSES_WITHOUT_BODY

    def _response_headers(self, response: HttpResponse) -> Headers:
        headers = [*self._connection_headers(response), *response.headers]
        if response.status in STATUSES_WITHOUT_BODY:
            return headers
        if response.stream is None:
            return [*headers, ('content-length', str(len(response.body)))]
        if any(name == 'content-type' for name, _ in headers):
            return headers
        return [*_EVENT_STREAM_HEADERS, *headers]

    def _connection_headers(self, response: HttpResponse) -> Headers:
        """Returns the header that announces the end of the connection.

        It isn't sent while another request has arrived, unless the connection
        makes room: a client takes the requests after such a response as not
        received.
        """
        is_announced = any(name == 'connection' for name, _ in response.headers)
        is_last = self._requests.gives_way or (
            self._is_stopping() and not self._requests.has_input
        )
        if is_announced or not is_last:
            return []
        return [('connection', 'close')]

    async def _send(self, *events: h11.Event) -> None:
        chunks = [self._requests.protocol.send(event) for event in events]
        self._has_begun |= not isinstance(events[0], h11.InformationalResponse)
        self._writer.write(b''.join(chunk for chunk in chunks if chunk))
        await self._flush()

    async def _flush(self) -> None:
        """Waits until a slow client has read enough of the sent data.

        No timer is started if the write buffer is already empty.

        Raises:
            ClientStalledError: if the client reads too slowly.
            ConnectionResetError: if the connection is closed meanwhile.
        """
        transport = self._writer.transport
        if not transport.get_write_buffer_size() and not transport.is_closing():
            return
        self._stalled_since_s = asyncio.get_running_loop().time()
        try:
            await self._drain(self._read_bounds().write_timeout_s)
            # asyncio ends the wait without an error at an abort.
            if transport.is_closing():
                raise ConnectionResetError('connection closed while sending')
        except TimeoutError as error:
            self._writer.transport.abort()
            raise ClientStalledError(
                'client did not read the response in time'
            ) from error
        finally:
            self._stalled_since_s = None

    async def _drain(self, timeout_s: float) -> None:
        """Waits for a client, longer if this process woke too late.

        Raises:
            TimeoutError: if the client reads too slowly.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while True:
            try:
                async with asyncio.timeout_at(until_s):
                    return await self._writer.drain()
            except TimeoutError:
                now_s = loop.time()
                late_s = now_s - until_s
                if late_s < STANDSTILL_S:
                    raise
            until_s = now_s + min(late_s, timeout_s)
            self._stalled_since_s = now_s


async def _next_chunk(body: AsyncIterator[bytes]) -> bytes | None:
    """Returns the next chunk of a body; ``None`` at its end.

    Raises:
        BrokenBodyError: if the body breaks off.
    """
    try:
        return await anext(body, None)
    except OSError as error:
        raise BrokenBodyError(str(error)) from error


__all__ = ('ResponseSender',)
