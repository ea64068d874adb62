"""A connection from a client and the requests on it."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import aclosing, suppress
from typing import TYPE_CHECKING, TypeAlias

import h11
from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind

from .messages import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    encode_headers,
)
from .problem import problem_response
from .socket_input import SocketInput

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .messages import BodyStream, Headers
    from .server_bounds import RequestCounter, ServerBounds

NO_LINGER = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

STATUSES_WITHOUT_BODY = frozenset({204, 304})

_EVENT_STREAM_HEADERS = (
    ('content-type', EVENT_STREAM_TYPE),
    ('cache-control', 'no-store'),
)

RequestHandler: TypeAlias = 'Callable[[HttpRequest], Awaitable[HttpResponse]]'


class HandlerError(Exception):
    """The handler of a request failed with an error of the system."""


class ServerConnection:
    """A connection from a client and the requests on it."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        serve: RequestHandler,
        read_bounds: Callable[[], ServerBounds],
        request_counter: RequestCounter,
        is_draining: Callable[[], bool],
    ) -> None:
        """Wraps an accepted connection."""
        self._is_draining = is_draining
        self._request_counter = request_counter
        self._input = SocketInput(reader)
        self._writer = writer
        self._serve = serve
        self._read_bounds = read_bounds
        self._idle_wait: asyncio.Timeout | None = None
        self._is_head_request = False
        self._is_first_request = True
        self._max_head_bytes = self._bounds.max_head_bytes
        self._protocol = _new_protocol(self._max_head_bytes)

    @property
    def _bounds(self) -> ServerBounds:
        """Returns the current bounds; they may change at any time."""
        return self._read_bounds()

    def close_if_idle(self) -> None:
        """Lets the connection close unless bytes of a request have arrived.

        The connection decides: such bytes may still be in a buffer.
        """
        wait = self._idle_wait
        if wait is not None and not wait.expired():
            wait.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Closes the socket.

        It is reset if the body of an unfinished response has no chunks: a
        client would take a closed connection as the end of that body.
        """
        if self._is_body_ended_by_close:
            self._reset()
        else:
            self._writer.close()

    def _reset(self) -> None:
        """Closes the socket so that the client gets an error."""
        with suppress(OSError):
            self._writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        self._writer.transport.abort()

    @property
    def _is_body_ended_by_close(self) -> bool:
        return (
            self._protocol.our_state is h11.SEND_BODY
            and self._protocol.their_http_version == b'1.0'
        )

    async def run(self) -> None:
        """Serves requests until the connection closes.

        While the server drains, requests that have arrived are still served.
        """
        while await self._serve_next_request():
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()
            self._is_head_request = False
            self._is_first_request = False

    async def _serve_next_request(self) -> bool:
        """Reads and serves a request; returns False to close the connection."""
        try:
            request = await self._read_request()
        except CatkinreachError as error:
            await self.refuse(error)
            return False
        except h11.RemoteProtocolError as error:
            await self.refuse(
                CatkinreachError(ErrorKind.BAD_REQUEST, str(error))
            )
            return False
        if request is None:
            return False
        self._request_counter.begin()
        try:
            return await self._answer_unless_disconnected(request)
        except OSError:
            raise
        except Exception as error:  # noqa: BLE001 - fails only the request
            logger.opt(exception=error).error(
                'unexpected error while a request was answered'
            )
            await self.refuse(CatkinreachError(ErrorKind.INTERNAL))
            return False
        finally:
            self._request_counter.end()

    async def _read_request(self) -> HttpRequest | None:
        """Returns the next request, ``None`` if the client sends none.

        Raises:
            CatkinreachError: if the request is too slow, too large or invalid.
        """
        if not await self._wait_for_input():
            return None
        self._apply_head_limit()
        loop = asyncio.get_running_loop()
        head = await self._next_event(loop.time() + self._bounds.head_timeout_s)
        if not isinstance(head, h11.Request):
            return None
        self._is_head_request = head.method == b'HEAD'
        _check_framing(head)
        body = await self._read_body(loop.time() + self._bounds.body_timeout_s)
        return HttpRequest(
            method=head.method.decode('ascii'),
            target=head.target.decode('latin-1'),
            headers=[
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in head.headers
            ],
            body=body,
        )

    async def _wait_for_input(self) -> bool:
        """Returns whether bytes, or the end of the input, arrive in time.

        The timeout may change during the wait.
        """
        if self._protocol.trailing_data[0]:
            return True
        chunk = await self._read_first_bytes(asyncio.get_running_loop().time())
        if chunk is None:
            return False
        self._protocol.receive_data(chunk)
        return True

    async def _read_first_bytes(self, started_s: float) -> bytes | None:
        while not self._is_expired(started_s):
            until_s = started_s + self._input_timeout_s()
            self._idle_wait = asyncio.timeout_at(until_s)
            try:
                async with self._idle_wait:
                    return await self._input.read()
            except TimeoutError:
                continue
            finally:
                self._idle_wait = None
        return await self._input.read_available()

    def _is_expired(self, started_s: float) -> bool:
        now_s = asyncio.get_running_loop().time()
        return started_s + self._input_timeout_s() <= now_s

    def _input_timeout_s(self) -> float:
        if self._is_draining():
            return 0
        if self._is_first_request:
            return self._bounds.head_timeout_s
        return self._bounds.idle_timeout_s

    def _apply_head_limit(self) -> None:
        """Applies a changed size limit to the head that is read next."""
        max_head_bytes = self._bounds.max_head_bytes
        if max_head_bytes == self._max_head_bytes:
            return
        self._max_head_bytes = max_head_bytes
        received, is_closed = self._protocol.trailing_data
        self._protocol = _new_protocol(max_head_bytes)
        if received:
            self._protocol.receive_data(received)
        if is_closed:
            self._protocol.receive_data(b'')

    async def _read_body(self, deadline_s: float) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event(deadline_s)
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise CatkinreachError(ErrorKind.BAD_REQUEST)
            size += len(event.data)
            if size > self._bounds.max_body_bytes:
                raise CatkinreachError(ErrorKind.TOO_LARGE)
            parts.append(bytes(event.data))

    async def _next_event(
        self, deadline_s: float
    ) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event of a request.

        Raises:
            CatkinreachError: if it hasn't arrived by the deadline.
        """
        while True:
            event = self._protocol.next_event()
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                await self._send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            chunk = await self._input.read_within(
                asyncio.timeout_at(deadline_s)
            )
            if chunk is None:
                raise CatkinreachError(ErrorKind.TOO_SLOW)
            self._protocol.receive_data(chunk)

    async def _answer_unless_disconnected(self, request: HttpRequest) -> bool:
        """Serves a request and cancels it if the client disconnects.

        Returns:
            False if the request was cancelled.
        """
        answer_task = asyncio.ensure_future(self._serve_and_send(request))
        disconnect_task = asyncio.ensure_future(self._watch_disconnect())
        try:
            await asyncio.wait(
                {answer_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answer_task.done() and disconnect_task.result():
                answer_task.cancel()
            with suppress(asyncio.CancelledError):
                return await answer_task
            return False
        finally:
            answer_task.cancel()
            disconnect_task.cancel()
            with suppress(asyncio.CancelledError):
                await disconnect_task

    async def _watch_disconnect(self) -> bool:
        """Returns whether the client disconnects before it sends more data."""
        chunk = await self._input.read()
        if chunk:
            self._protocol.receive_data(chunk)
        return not chunk

    async def _serve_and_send(self, request: HttpRequest) -> bool:
        try:
            response = await self._serve(request)
        except CatkinreachError as error:
            response = problem_response(error)
        except OSError as error:
            # It isn't one of this connection: nothing was sent on it yet.
            raise HandlerError('the handler failed') from error
        await self._send_response(response)
        return True

    async def _send_response(self, response: HttpResponse) -> None:
        head = h11.Response(
            status_code=response.status,
            headers=encode_headers(self._response_headers(response)),
        )
        if self._is_head_request or response.status in STATUSES_WITHOUT_BODY:
            if response.stream is not None:
                await response.stream.aclose()
            await self._send(head, h11.EndOfMessage())
        elif response.stream is None:
            data = h11.Data(data=response.body)
            await self._send(head, data, h11.EndOfMessage())
        else:
            await self._send_stream(head, response.stream)

    async def _send_stream(
        self, head: h11.Response, stream: BodyStream
    ) -> None:
        async with aclosing(stream) as chunks:
            await self._send(head)
            async for chunk in chunks:
                await self._send(h11.Data(data=chunk))
        await self._send(h11.EndOfMessage())

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

        It isn't sent while another request has arrived: a client takes the
        requests after such a response as not received.
        """
        is_announced = any(name == 'connection' for name, _ in response.headers)
        has_input = bool(self._protocol.trailing_data[0])
        if is_announced or has_input or not self._is_draining():
            return []
        return [('connection', 'close')]

    async def refuse(self, error: CatkinreachError) -> None:
        """Sends an error response unless a response has already started."""
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = problem_response(error)
        response.headers.append(('connection', 'close'))
        with suppress(OSError, h11.LocalProtocolError):
            await self._send_response(response)

    async def _send(self, *events: h11.Event) -> None:
        chunks = [self._protocol.send(event) for event in events]
        self._writer.write(b''.join(chunk for chunk in chunks if chunk))
        await self._flush()

    async def _flush(self) -> None:
        """Waits until a slow client has read enough of the sent data.

        No timer is started if the write buffer is already empty.

        Raises:
            ConnectionAbortedError: if the client reads too slowly.
        """
        transport = self._writer.transport
        if not transport.get_write_buffer_size() and not transport.is_closing():
            return
        try:
            async with asyncio.timeout(self._bounds.write_timeout_s):
                await self._writer.drain()
        except TimeoutError as error:
            self._writer.transport.abort()
            raise ConnectionAbortedError(
                'client did not read the response in time'
            ) from error


def _new_protocol(max_head_bytes: int) -> h11.Connection:
    return h11.Connection(
        our_role=h11.SERVER, max_incomplete_event_size=max_head_bytes
    )


def _check_framing(head: h11.Request) -> None:
    """Refuses a request whose body length is ambiguous.

    Two HTTP parsers could disagree on where such a request ends, which
    allows request smuggling.
    """
    names = [name for name, _ in head.headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise CatkinreachError(
            ErrorKind.BAD_REQUEST,
            'transfer-encoding and content-length must not both be present',
        )


__all__ = (
    'RequestHandler',
    'ServerConnection',
)
