"""Fronts that the callers of a soak use, and streams that they resume."""

from __future__ import annotations

import asyncio
import random
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.settings.node import Address
from catkinreach_node.http.client import HttpClient
from catkinreach_standins.bench.ports import free_ports
from catkinreach_standins.platform.processes import FrontProcess, Ports
from catkinreach_standins.platform.soak.callers import Callers
from catkinreach_standins.platform.soak.history import (
    CallEnd,
    CallKind,
    History,
)
from catkinreach_standins.platform.soak.prompts import Prompts
from catkinreach_standins.platform.soak.resumptions import resume_stream

if TYPE_CHECKING:
    from pathlib import Path

CALLERS_PER_FRONT = 4
STREAM_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
REPLIES = (
    (1, 4, b''),
    (4, 4, b''),
    (4, 6, b''),
    (6, 7, b'0\r\n\r\n'),
)
"""Events of each reply from one to another, and how it ends."""


@pytest.mark.parametrize('front_count', [3, 4])
def test_each_front_gets_callers_of_each_kind(
    tmp_path: Path, front_count: int
) -> None:
    # With 24 fronts, each got callers of one kind only.
    fronts = [
        FrontProcess(number, '', tmp_path, Ports())
        for number in range(front_count)
    ]
    (port,) = free_ports(1)
    for front in fronts:
        front.caller_address = Address(host='127.0.0.1', port=port)
    history = History(idle_limits=[(0.0, 0.1)])
    rng = random.Random(1)
    callers = Callers(fronts, history, rng, Prompts(rng), rng)

    async def run() -> None:
        running = asyncio.ensure_future(
            callers.run(CALLERS_PER_FRONT * front_count)
        )
        while not history.calls:  # noqa: ASYNC110 - one turn is enough
            await asyncio.sleep(0)
        callers.is_stopped = True
        await running

    asyncio.run(run())
    assert {(call.front, call.kind) for call in history.calls} == {
        (number, kind) for number in range(front_count) for kind in CallKind
    }


def _reply(first_id: int, end_id: int, end: bytes) -> bytes:
    chunks = []
    for event_id in range(first_id, end_id):
        event = f'id: {event_id}\ndata: token {event_id} v1\n\n'
        chunks.append(f'{len(event):x}\r\n{event}\r\n')
    return STREAM_HEAD + ''.join(chunks).encode() + end


def _headers(head: bytes) -> dict[str, str]:
    lines = head.decode().split('\r\n')[1:]
    return dict(line.split(': ', 1) for line in lines if line)


def test_caller_resumes_its_stream_until_it_is_whole(tmp_path: Path) -> None:
    received: list[dict[str, str]] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        received.append(_headers(head))
        writer.write(_reply(*REPLIES[len(received) - 1]))
        writer.close()

    async def run() -> History:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        front = FrontProcess(0, '', tmp_path, Ports())
        front.caller_address = Address(
            host='127.0.0.1', port=server.sockets[0].getsockname()[1]
        )
        rng = random.Random(1)
        callers = Callers([front], History(), rng, Prompts(rng), rng)
        call = await callers.call(
            HttpClient(), CallKind.STREAM, 0, may_cancel=False
        )
        await resume_stream(callers, call)
        server.close()
        return callers.history

    calls = asyncio.run(run()).calls
    assert [call.event_ids for call in calls] == [(1, 2, 3), (), (4, 5), (6,)]
    assert [call.end for call in calls[2:]] == [
        CallEnd.INCOMPLETE,
        CallEnd.ANSWERED,
    ]
    assert calls[-1].versions == {'v1'}
    first, *others = received
    assert 'resumes' not in first
    assert [headers['last-event-id'] for headers in others] == ['3', '3', '5']
    for earlier, headers in pairwise(received):
        assert headers['resumes'] == first['request-id']
        assert headers['prompt-prefix'] == first['prompt-prefix']
        assert int(headers['deadline-ms']) < int(earlier['deadline-ms'])
