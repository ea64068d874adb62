"""Plain upstreams that crash within a response that has no length."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_core.settings.node import Address
from catkinreach_node.http.client import HttpClient
from catkinreach_node.session import plain
from catkinreach_standins.bench.ports import LOOPBACK
from catkinreach_standins.fakes.plain_calls import (
    ORDER_PATH,
    READ_PATH,
    read_plain,
    run_order,
)
from catkinreach_standins.fakes.scripted_upstream import (
    End,
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from catkinreach_standins.fakes.scripted_upstream import Step

    Call = Callable[[HttpClient, Address], Awaitable[str]]

CHECK_PATH = '*'
PAUSE_S = 10.0
RESPONSE_TIMEOUT_S = 5.0
HEADS = [
    b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n',
    b'HTTP/1.1 200 OK\r\n\r\n',
    b'HTTP/1.0 200 OK\r\n\r\n',
]


@pytest.fixture(autouse=True)
def short_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the wait for a response short."""
    monkeypatch.setattr(
        plain, 'RESPONSE_TIMEOUT_S', RESPONSE_TIMEOUT_S, raising=False
    )


class CrashingUpstream:
    """Sends a part of a response, then ends all its connections."""

    def __init__(self, part: bytes, *, restarts: bool) -> None:
        """Takes the part; ``restarts`` on the same port after each crash."""
        self._part = part
        self._restarts = restarts
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._port = 0

    async def start(self) -> Address:
        """Starts to listen, on the port of before if there is one."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        return Address(LOOPBACK, self._port)

    def end(self) -> None:
        """Ends the listening and all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return
        writer.write(self._part)
        await writer.drain()
        self.end()
        if self._restarts:
            await self.start()


def _call_crashing(call: Call, part: bytes, *, restarts: bool) -> None:
    async def run() -> None:
        upstream = CrashingUpstream(part, restarts=restarts)
        address = await upstream.start()
        try:
            await call(HttpClient(), address)
        finally:
            upstream.end()

    asyncio.run(run())


def _call_scripted(
    call: Call, reply: Sequence[Step], check: Sequence[Step]
) -> tuple[str, list[str]]:
    """Returns the answer and the paths that the upstream was asked for."""

    async def run() -> tuple[str, list[str]]:
        async with scripted_upstream(
            lambda path, _: check if path == CHECK_PATH else reply
        ) as (upstream, address):
            answer = await call(HttpClient(), address)
            return answer, upstream.paths

    return asyncio.run(run())


# The caller got the part as a whole answer, with 200.
@pytest.mark.parametrize('restarts', [False, True])
@pytest.mark.parametrize('call', [read_plain, run_order])
@pytest.mark.parametrize('head', HEADS)
def test_part_of_a_response_is_whole(
    head: bytes, call: Call, *, restarts: bool
) -> None:
    with pytest.raises(CatkinreachError) as caught:
        _call_crashing(call, head + b'ans', restarts=restarts)
    assert caught.value.kind is ErrorKind.UPSTREAM_FAILED
    assert caught.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('status', [200, 404, 405])
@pytest.mark.parametrize('head', HEADS)
def test_whole_response_without_length_is_refused(
    head: bytes, status: int
) -> None:
    reply = (head + b'answer', End.CLOSE)
    check = (encode_response(b'', status=status),)
    answer, paths = _call_scripted(run_order, reply, check)
    assert answer == 'answer'
    assert paths == [ORDER_PATH, CHECK_PATH]
    answer, paths = _call_scripted(read_plain, reply, check)
    assert answer == 'answer'
    assert paths == [READ_PATH, READ_PATH, CHECK_PATH]


@pytest.mark.parametrize('check', [(PAUSE_S,), (End.CLOSE,), (End.RESET,)])
@pytest.mark.parametrize('call', [read_plain, run_order])
def test_unproved_response_is_whole(call: Call, check: Sequence[Step]) -> None:
    with pytest.raises(CatkinreachError) as caught:
        _call_scripted(call, (HEADS[0] + b'ans', End.CLOSE), check)
    assert caught.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('status', [200, 204, 304])
@pytest.mark.parametrize('call', [read_plain, run_order])
def test_response_with_a_known_end_is_checked(call: Call, status: int) -> None:
    reply = encode_response(b'', status=status)
    _, paths = _call_scripted(call, (reply,), (PAUSE_S,))
    assert CHECK_PATH not in paths
    assert len(paths) == 1
