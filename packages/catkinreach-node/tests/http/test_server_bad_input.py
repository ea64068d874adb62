"""The server refuses malformed, slow and oversized input.

In each case it goes on to serve the next client.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_standins.fakes.http_servers import (
    count_body_bytes,
    running_server,
)

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address

BOUNDS = ServerBounds(
    head_timeout_s=0.2,
    body_timeout_s=0.2,
    idle_timeout_s=0.2,
    write_timeout_s=0.2,
    max_body_bytes=1000,
    max_head_bytes=2000,
    max_connections=5,
)
VALID_REQUEST = b'GET /x HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n\r\n'
FLOOD_BYTES = 32 * 1024 * 1024


async def _serve(request: HttpRequest) -> HttpResponse:
    if request.path == '/flood':
        return HttpResponse(status=200, body=b'x' * FLOOD_BYTES)
    return await count_body_bytes(request)


async def _send(
    address: Address, raw: bytes, *, half_close: bool = False
) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(raw)
    if half_close:
        writer.write_eof()
    try:
        return await asyncio.wait_for(reader.read(), 10)
    except ConnectionError:
        return b''
    finally:
        writer.close()


def _exchange(
    raw: bytes, *, half_close: bool = False
) -> tuple[int, dict[str, str]]:
    """Sends raw bytes, then checks that the next client is served.

    Returns:
        Status and JSON body of the response, 0 and no member without one.
    """

    async def run() -> bytes:
        async with running_server(_serve, BOUNDS) as (_, address):
            answer = await _send(address, raw, half_close=half_close)
            assert b' 200 ' in await _send(address, VALID_REQUEST)
        return answer

    answer = asyncio.run(run())
    if not answer:
        return 0, {}
    head, _, body = answer.partition(b'\r\n\r\n')
    return int(head.split()[1]), json.loads(body)


@pytest.mark.parametrize(
    ('raw', 'status', 'code'),
    [
        (b'NONSENSE\r\n\r\n', 400, 'bad-request'),
        (b'GET / HTTP/1.1\r\n\r\n', 400, 'bad-request'),
        (b'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n', 400, 'bad-request'),
        (
            b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 3000,
            400,
            'bad-request',
        ),
        (
            (
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n'
                b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
            ),
            400,
            'bad-request',
        ),
        (
            (
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n'
                b'content-length: 6\r\n\r\nhello'
            ),
            400,
            'bad-request',
        ),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n',
            400,
            'bad-request',
        ),
        (
            (
                b'POST / HTTP/1.1\r\nhost: a\r\n'
                b'transfer-encoding: gzip, chunked\r\n\r\n'
            ),
            400,
            'bad-request',
        ),
        (
            (
                b'POST / HTTP/1.1\r\nhost: a\r\n'
                b'transfer-encoding: chunked\r\n\r\nZZ\r\n'
            ),
            400,
            'bad-request',
        ),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n'
            + b'x' * 2000,
            413,
            'too-large',
        ),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nslow',
            408,
            'too-slow',
        ),
        (b'GET / HTTP/1.1\r\nho', 408, 'too-slow'),
        (b'CONNECT /x HTTP/1.1\r\nhost: a\r\n\r\n', 400, 'bad-request'),
    ],
)
def test_bad_input_is_refused(raw: bytes, status: int, code: str) -> None:
    actual_status, problem = _exchange(raw)
    assert (actual_status, problem['code']) == (status, code)
    assert problem['outcome'] == 'not-run'


def test_incomplete_body_is_not_served() -> None:
    raw = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\ncut'
    status, _ = _exchange(raw, half_close=True)
    assert status in {0, 400}


def test_idle_connections_are_limited_and_time_out() -> None:
    async def run() -> tuple[bytes, int, bytes]:
        async with running_server(_serve, BOUNDS) as (server, address):
            idle = [
                await asyncio.open_connection(address.host, address.port)
                for _ in range(BOUNDS.max_connections)
            ]
            refusal = await _send(address, b'')
            for reader, writer in idle:
                await reader.read()
                writer.close()
            open_connections = server.connection_count
            return (
                refusal,
                open_connections,
                await _send(address, VALID_REQUEST),
            )

    refusal, open_connections, answer = asyncio.run(run())
    assert b'connections-full' in refusal
    assert open_connections <= 1
    assert b' 200 ' in answer


def test_client_that_does_not_read_is_disconnected() -> None:
    async def run() -> bytes:
        async with running_server(_serve, BOUNDS) as (server, address):
            reader, writer = await asyncio.open_connection(
                address.host, address.port, limit=1
            )
            writer.write(VALID_REQUEST.replace(b'/x', b'/flood'))
            async with asyncio.timeout(10):
                await asyncio.sleep(BOUNDS.write_timeout_s)
                while server.connection_count:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            del reader
            writer.close()
            return await _send(address, VALID_REQUEST)

    assert b' 200 ' in asyncio.run(run())


FRAGMENTS = st.lists(
    st.one_of(
        st.binary(max_size=60),
        st.sampled_from(
            [
                b'GET / HTTP/1.1\r\n',
                b'POST /x HTTP/1.1\r\n',
                b'host: edge\r\n',
                b'content-length: 3\r\n',
                b'transfer-encoding: chunked\r\n',
                b'expect: 100-continue\r\n',
                b'\r\n',
                b'3\r\nabc\r\n',
                b'0\r\n\r\n',
            ]
        ),
    ),
    max_size=12,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(fragments=FRAGMENTS)
def test_server_survives_arbitrary_input(fragments: list[bytes]) -> None:
    async def run() -> bytes:
        async with running_server(_serve, BOUNDS) as (_, address):
            await _send(address, b''.join(fragments), half_close=True)
            return await _send(address, VALID_REQUEST)

    assert b' 200 ' in asyncio.run(run())
