"""Every request gets a response, whatever its response contains."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_standins.fakes.http_servers import running_server

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Iterator

    from catkinreach_node.http.server_connection import RequestHandler


async def _events() -> AsyncGenerator[bytes, None]:
    yield b'data: 1\n\n'


async def _failing_events() -> AsyncGenerator[bytes, None]:
    yield b'data: 1\n\n'
    raise ValueError('malformed event')


class _OwningStream:
    """A stream that holds something until it is closed."""

    def __init__(self) -> None:
        """Starts open."""
        self.is_closed = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the iterator over the body's chunks."""
        return _events()

    async def aclose(self) -> None:
        """Gives up what the stream holds."""
        self.is_closed = True


async def _serve(request: HttpRequest) -> HttpResponse:
    await asyncio.sleep(0)
    status = request.path.strip('/')
    match status:
        case 'problem':
            raise CatkinreachError(ErrorKind.ROUTE_UNKNOWN)
        case 'stream':
            return HttpResponse(200, stream=_events())
        case 'bug':
            raise ValueError('malformed reply')
        case 'disk':
            raise OSError('malformed reply')
        case 'late':
            raise TimeoutError('malformed reply')
        case 'failing-stream':
            return HttpResponse(200, stream=_failing_events())
        case 'latin':
            return HttpResponse(200, [('x-note', 'caf\xe9')], b'ok')
        case _:
            return HttpResponse(int(status), [('x-note', 'a')], b'')


def _exchange(path: str, method: str = 'GET', version: str = '1.1') -> bytes:
    """Returns all that the server sends."""
    raw = f'{method} /{path} HTTP/{version}\r\nhost: edge\r\n\r\n'.encode()
    return asyncio.run(_send_twice(raw))


@pytest.fixture
def logged_errors() -> Iterator[list[str]]:
    """Collects the errors in the log of the process."""
    errors: list[str] = []
    sink = logger.add(errors.append, level='ERROR', format='{exception}')
    yield errors
    logger.remove(sink)


async def _send_twice(raw: bytes, serve: RequestHandler = _serve) -> bytes:
    """Sends a request and then the same one again on one connection."""
    async with running_server(serve) as (_, address):
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        try:
            writer.write(raw + raw)
            writer.write(b'GET /200 HTTP/1.1\r\nhost: edge\r\n')
            writer.write(b'connection: close\r\n\r\n')
            return await asyncio.wait_for(reader.read(), 10)
        finally:
            writer.close()


@pytest.mark.parametrize(
    ('path', 'method', 'status'),
    [
        ('problem', 'HEAD', 404),
        ('stream', 'HEAD', 200),
        ('200', 'HEAD', 200),
        ('204', 'GET', 204),
        ('304', 'GET', 304),
    ],
)
def test_response_without_body_closes_connection(
    path: str, method: str, status: int
) -> None:
    # h11 rejected the body of a response that can't have one.
    received = _exchange(path, method)
    heads = received.split(b'\r\n\r\n')
    statuses = [int(head.split()[1]) for head in heads if head]
    assert statuses == [status, status, 200]
    if status in {204, 304}:
        assert b'content-length' not in heads[0]


def test_header_outside_ascii_closes_connection() -> None:
    # A header of an engine's reply could not be encoded as ASCII.
    received = _exchange('latin')
    assert received.count(b'x-note: caf\xe9\r\n') == 2


def test_header_outside_ascii_is_not_forwarded() -> None:
    # A header of a caller's request could not be encoded as ASCII.
    async def run() -> int:
        request = HttpRequest('GET', '/latin', [('x-note', 'caf\xe9')])
        client = HttpClient()
        async with running_server(_serve) as (_, address):
            try:
                status, _ = await client.call_raw(address, request)
            finally:
                client.close()
        return status

    assert asyncio.run(run()) == 200


@pytest.mark.parametrize('error', ['bug', 'disk', 'late'])
def test_unexpected_error_closes_connection_without_response(
    logged_errors: list[str], error: str
) -> None:
    # asyncio closed the connection and logged outside the process's log.
    received = _exchange(error)
    assert received.startswith(b'HTTP/1.1 500 ')
    assert len(logged_errors) == 1
    assert 'malformed reply' in logged_errors[0]


def test_unexpected_error_in_stream_is_missing_in_log(
    logged_errors: list[str],
) -> None:
    # The handler of asyncio's server wrote it to stderr.
    received = _exchange('failing-stream')
    assert received.count(b' 200 ') == 1
    assert not received.endswith(b'0\r\n\r\n')
    assert len(logged_errors) == 1
    assert 'malformed event' in logged_errors[0]


def test_broken_stream_looks_complete_to_http_1_0_client() -> None:
    # Without chunks the end of the connection is the end of the body.
    with pytest.raises(ConnectionResetError):
        _exchange('failing-stream', version='1.0')


def test_stream_with_malformed_header_is_never_closed() -> None:
    # The engine kept the stream's connection and load for good.
    stream = _OwningStream()

    async def serve(request: HttpRequest) -> HttpResponse:
        del request
        return HttpResponse(200, [('x-note', 'a\nb')], stream=stream)

    received = asyncio.run(
        _send_twice(b'GET / HTTP/1.1\r\nhost: edge\r\n\r\n', serve)
    )
    assert received.startswith(b'HTTP/1.1 500 ')
    assert stream.is_closed
