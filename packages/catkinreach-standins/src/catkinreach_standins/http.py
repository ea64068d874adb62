"""HTTP/1.1 server of the stand-ins, on asyncio streams and h11."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import h11
import msgspec
from loguru import logger

READ_SIZE_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request, received in full.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Decoded query parameters.
        headers: Header values by name in lower case.
        body: Whole body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """HTTP response with a whole body or a stream of chunks.

    Attributes:
        status: HTTP status code.
        body: Whole body; unused if ``stream`` is set.
        headers: Headers besides the content type and length.
        stream: Chunks of a body sent without a content length.
        content_type: Value of the ``content-type`` header.
    """

    status: int = 200
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None
    content_type: str = 'application/json'


class ConnectionAbort(Exception):  # noqa: N818
    """Raised by a handler to close the connection without a response."""


Handler = Callable[[Request], Awaitable[Response]]
BytesSink = Callable[[bytes], None]


def json_response(
    payload: object,
    *,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Returns a response with the payload encoded as JSON."""
    return Response(
        status=status,
        body=msgspec.json.encode(payload),
        headers=headers or {},
    )


def error_response(status: int, code: str) -> Response:
    """Returns a JSON error response with the error code."""
    return json_response({'error': code}, status=status)


def sse_event(payload: object) -> bytes:
    """Returns a server-sent event with the payload encoded as JSON."""
    return b'data: ' + msgspec.json.encode(payload) + b'\n\n'


class HttpServer:
    """Accepts connections and calls the handler for each request."""

    def __init__(
        self,
        handler: Handler,
        *,
        on_bytes: BytesSink | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handler: Returns the response to a request.
            on_bytes: Called with each chunk of bytes received.
        """
        self._handler = handler
        self._on_bytes = on_bytes
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        if self._server is None:
            raise RuntimeError('the server has not been started')
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, host: str, port: int) -> None:
        """Starts to listen on the address; port 0 selects a free port."""
        self._server = await asyncio.start_server(
            self._handle_connection,
            host,
            port,
            backlog=1024,
        )

    async def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = _ServerConnection(
            reader,
            writer,
            handler=self._handler,
            on_bytes=self._on_bytes,
        )
        try:
            await connection.run()
        except (OSError, ConnectionAbort, h11.RemoteProtocolError) as error:
            logger.debug('http: connection closed: {!r}', error)
        except asyncio.CancelledError:
            logger.debug('http: stopped with a client connected')
        finally:
            writer.close()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await writer.wait_closed()


class _ServerConnection:
    """Accepted connection with keep-alive."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        handler: Handler,
        on_bytes: BytesSink | None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._on_bytes = on_bytes
        self._protocol = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        """Handles requests until either side closes the connection."""
        while True:
            request = await self._read_request()
            if request is None or not await self._respond_while_connected(
                request
            ):
                return
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _read_request(self) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                await self._receive_chunk()
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _build_request(head, bytes(body))
            else:
                return None

    async def _receive_chunk(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        self._feed_parser(await self._reader.read(READ_SIZE_BYTES))

    def _feed_parser(self, chunk: bytes) -> None:
        if self._on_bytes is not None and chunk:
            self._on_bytes(chunk)
        self._protocol.receive_data(chunk)

    async def _respond_while_connected(self, request: Request) -> bool:
        """Sends the response; cancels it if the client disconnects.

        Returns:
            Whether the response was sent completely.
        """
        sending = asyncio.create_task(self._send_response(request))
        disconnect = asyncio.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait(
                (sending, disconnect),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not sending.done():
                return False
            await sending
            return True
        finally:
            sending.cancel()
            disconnect.cancel()
            await asyncio.gather(sending, disconnect, return_exceptions=True)

    async def _wait_for_disconnect(self) -> None:
        while chunk := await self._reader.read(READ_SIZE_BYTES):
            self._feed_parser(chunk)

    async def _send_response(self, request: Request) -> None:
        response = await self._handler(request)
        headers = [
            ('content-type', response.content_type),
            *response.headers.items(),
        ]
        if response.stream is None:
            headers.append(('content-length', str(len(response.body))))
        self._send(h11.Response(status_code=response.status, headers=headers))
        if response.stream is None:
            self._send(h11.Data(data=response.body))
        else:
            await self._send_chunks(response.stream)
        self._send(h11.EndOfMessage())
        await self._writer.drain()

    async def _send_chunks(self, stream: AsyncIterator[bytes]) -> None:
        async for chunk in stream:
            self._send(h11.Data(data=chunk))
            await self._writer.drain()

    def _send(self, event: h11.Event) -> None:
        encoded = self._protocol.send(event)
        if encoded:
            self._writer.write(encoded)


def _build_request(head: h11.Request, body: bytes) -> Request:
    target = urlsplit(head.target.decode('ascii'))
    return Request(
        method=head.method.decode('ascii'),
        path=target.path,
        query=dict(parse_qsl(target.query)),
        headers={
            name.decode('latin-1'): header.decode('latin-1')
            for name, header in head.headers
        },
        body=body,
    )


__all__ = (
    'BytesSink',
    'ConnectionAbort',
    'Handler',
    'HttpServer',
    'Request',
    'Response',
    'error_response',
    'json_response',
    'sse_event',
)
