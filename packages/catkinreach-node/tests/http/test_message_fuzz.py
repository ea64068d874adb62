"""Requests and responses in any bytes, and however they are cut."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING
from unittest.mock import Mock, patch

import h11
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.settings.node import Address
from catkinreach_node.http.body_memory import BodyMemory
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ClientConnection, ExchangeError
from catkinreach_node.http.messages import HttpRequest, encode_headers
from catkinreach_node.http.request_reader import RequestReader
from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_node.platform.wire import PlatformDialect
from catkinreach_standins.fakes.fuzz_inputs import (
    damaged_bytes,
    fuzz_settings,
    stored_inputs,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

CORPUS = Path(__file__).parent / 'corpus'
REQUESTS = CORPUS / 'requests'
RESPONSES = CORPUS / 'responses'
BOUNDS = ServerBounds(max_body_bytes=1_000, max_head_bytes=2_000)
MAX_REQUESTS = 5
MAX_BODY_BYTES = 1_000
ADDRESS = Address(host='127.0.0.1', port=1)
CHUNKED = (
    b'transfer-encoding: chunked\r\ntrailer: x\r\n\r\n'
    b'3;a=b;c="d"\r\nabc\r\n2\r\nde\r\n0\r\nx: y\r\n\r\n'
)
REQUEST = (
    b'POST /x?y HTTP/1.1\r\nhost: a\r\ntoken-count: 5,6\r\n' + CHUNKED,
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc',
    b'GET / HTTP/1.0\r\n\r\n',
    b'HEAD / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\r\n',
)
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\n' + CHUNKED,
    b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc',
    b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 204 No\r\n\r\n',
    b'HTTP/1.0 503 No\r\nretry-after: 1\r\n\r\nrest',
)
PIECES = (
    b'GET / HTTP/1.1\r\n',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 \r\n\r\n',
    b'HTTP/1.1 000 \r\n',
    b'HTTP/1.1 101 \r\nupgrade: x\r\n\r\n',
    b'HTTP/9.9 999 \r\n',
    b'host: a\r\n',
    b'content-length: 3\r\n',
    b'content-length: ' + b'9' * 20 + b'\r\n',
    b'content-length: ' + b'0' * 1_500 + b'3\r\n',
    b'content-length: 3, 3\r\n',
    b'transfer-encoding: chunked\r\n',
    b'transfer-encoding: identity\r\n',
    b'expect: 100-continue\r\n',
    b'connection: close, upgrade\r\n',
    b'x: \xff\r\n',
    b'x:\r\n y\r\n',
    b'\r\n',
    b'\n',
    b'3\r\nabc\r\n',
    b'3;' + b'e' * 3_000 + b'\r\nabc\r\n',
    b'F' * 20 + b'\r\n',
    b'F' * 21 + b'\r\n',
    b'-1\r\n',
    b'0\r\n\r\n',
    b'0\r\nx: y\r\n\r\n',
    b'\0',
)
CUTS = st.lists(st.integers(1, 400), max_size=4)


def _streams(valid: Iterable[bytes]) -> st.SearchStrategy[bytes]:
    parts = st.one_of(
        *(damaged_bytes(one) for one in valid),
        st.sampled_from((*valid, *PIECES)),
        st.binary(max_size=20),
    )
    return st.lists(parts, max_size=8).map(b''.join)


def _reader(data: bytes, cuts: list[int]) -> asyncio.StreamReader:
    """Returns a stream that gives the data in pieces of the lengths."""
    pieces = []
    for length in cuts:
        pieces.append(data[:length])
        data = data[length:]
    pieces.append(data)
    stream = asyncio.StreamReader()
    waiting = [piece for piece in pieces if piece]

    async def read(size: int = -1) -> bytes:
        piece = waiting.pop(0) if waiting else b''
        if 0 <= size < len(piece):
            waiting.insert(0, piece[size:])
        return piece[:size] if size >= 0 else piece

    setattr(stream, 'read', read)  # noqa: B010
    return stream


async def _serve(data: bytes, cuts: list[int]) -> None:
    """Reads requests as a server does, which answers each of them."""
    memory = BodyMemory()

    async def send_continue() -> None:
        protocol = reader.protocol
        protocol.send(h11.InformationalResponse(status_code=100, headers=[]))

    reader = RequestReader(
        _reader(data, cuts),
        lambda: BOUNDS,
        lambda: False,
        send_continue,
        memory,
    )
    with suppress(CatkinreachError, h11.RemoteProtocolError):
        await _answer_requests(reader)
    assert memory.used_bytes == 0


async def _answer_requests(reader: RequestReader) -> None:
    for _ in range(MAX_REQUESTS):
        request = await reader.read_request()
        if request is None:
            return
        assert request.hold is not None
        request.hold.release()
        assert len(request.body) <= BOUNDS.max_body_bytes
        encode_headers(request.headers)
        PlatformDialect().read_request(request)
        protocol = reader.protocol
        protocol.send(
            h11.Response(status_code=200, headers=[(b'content-length', b'0')])
        )
        protocol.send(h11.EndOfMessage())
        if not reader.start_next_cycle():
            return


async def _call(data: bytes, cuts: list[int], method: str) -> None:
    """Sends a request and reads the response as a client does."""
    writer = Mock()

    async def drain() -> None:
        pass

    writer.drain = drain
    writer.is_closing.return_value = False
    writer.transport.get_write_buffer_size.return_value = 0
    connection = ClientConnection(_reader(data, cuts), writer)

    async def connect(
        address: Address, *, is_new_connection: bool
    ) -> ClientConnection:
        del address, is_new_connection
        return connection

    client = HttpClient()
    dialect = PlatformDialect()
    with patch.object(client, '_connect', connect):
        try:
            async with client.exchange(
                ADDRESS, HttpRequest(method, '/')
            ) as response:
                dialect.read_reply(response.status, response.headers)
                encode_headers(dialect.caller_headers(response.headers))
                body = await response.read(MAX_BODY_BYTES)
        except ExchangeError:
            return
    assert len(body) <= MAX_BODY_BYTES


@fuzz_settings()
@given(data=_streams(REQUEST), cuts=CUTS)
@example(data=b''.join(REQUEST), cuts=[])
def test_odd_requests_raise_another_error_or_hold_memory(
    data: bytes, cuts: list[int]
) -> None:
    asyncio.run(_serve(data, cuts))


@fuzz_settings()
@given(
    data=_streams(RESPONSE),
    cuts=CUTS,
    method=st.sampled_from(('GET', 'HEAD', 'POST')),
)
@example(data=b''.join(RESPONSE), cuts=[], method='GET')
def test_odd_response_raises_another_error(
    data: bytes, cuts: list[int], method: str
) -> None:
    asyncio.run(_call(data, cuts, method))


@pytest.mark.parametrize('name', stored_inputs(REQUESTS))
def test_stored_requests_raise_another_error_again(name: str) -> None:
    data = stored_inputs(REQUESTS)[name]
    asyncio.run(_serve(data, []))
    asyncio.run(_serve(data, [1] * len(data)))


@pytest.mark.parametrize('name', stored_inputs(RESPONSES))
@pytest.mark.parametrize('method', ['GET', 'HEAD'])
def test_stored_response_raises_another_error_again(
    name: str, method: str
) -> None:
    data = stored_inputs(RESPONSES)[name]
    asyncio.run(_call(data, [], method))
    asyncio.run(_call(data, [1] * len(data), method))
