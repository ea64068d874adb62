"""HTTP/1.1 server base of the stand-ins, on asyncio streams and h11."""

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
    """One whole request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """An answer, either with a whole body or with a stream of chunks."""

    status: int = 200
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None
    content_type: str = 'application/json'


class ConnectionAbort(Exception):  # noqa: N818
    """Raised by a handler to close the connection without an answer."""


Handler = Callable[[Request], Awaitable[Response]]
BytesSink = Callable[[bytes], None]


def json_response(
    payload: object,
    *,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Encode a payload as a JSON answer."""
    return Response(
        status=status,
        body=msgspec.json.encode(payload),
        headers=headers or {},
    )


def error_response(status: int, code: str) -> Response:
    """Encode an error code as a JSON answer."""
    return json_response({'error': code}, status=status)


def sse_event(payload: object) -> bytes:
    """Encode one server-sent event."""
    return b'data: ' + msgspec.json.encode(payload) + b'\n\n'


class HttpServer:
    """Accepts connections and calls the handler once for each request."""

    def __init__(
        self,
        handler: Handler,
        *,
        on_bytes: BytesSink | None = None,
    ) -> None:
        """Keep the handler; ``on_bytes`` sees every byte received."""
        self._handler = handler
        self._on_bytes = on_bytes
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        if self._server is None:
            raise RuntimeError('the server has not been started')
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, host: str, port: int) -> None:
        """Listen on the address; port 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._serve,
            host,
            port,
            backlog=1024,
        )

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
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
            logger.debug('http: stopped with a caller connected')
        finally:
            writer.close()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await writer.wait_closed()


class _ServerConnection:
    """One accepted connection, with keep-alive."""

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
        """Serve requests until either side closes."""
        while True:
            request = await self._read_request()
            if request is None or not await self._answer_watched(request):
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
                await self._receive()
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _build_request(head, bytes(body))
            else:
                return None

    async def _receive(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        self._feed(await self._reader.read(READ_SIZE_BYTES))

    def _feed(self, chunk: bytes) -> None:
        if self._on_bytes is not None and chunk:
            self._on_bytes(chunk)
        self._protocol.receive_data(chunk)

    async def _answer_watched(self, request: Request) -> bool:
        """Answer a request; cancel the handler if the client goes away."""
        answer = asyncio.create_task(self._answer(request))
        watch = asyncio.create_task(self._watch_disconnect())
        try:
            await asyncio.wait(
                (answer, watch),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answer.done():
                return False
            await answer
            return True
        finally:
            answer.cancel()
            watch.cancel()
            await asyncio.gather(answer, watch, return_exceptions=True)

    async def _watch_disconnect(self) -> None:
        while chunk := await self._reader.read(READ_SIZE_BYTES):
            self._feed(chunk)

    async def _answer(self, request: Request) -> None:
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
            await self._send_stream(response.stream)
        self._send(h11.EndOfMessage())
        await self._writer.drain()

    async def _send_stream(self, stream: AsyncIterator[bytes]) -> None:
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
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in head.headers
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
