"""The faulty replies of an upstream's stand-in, as bytes on a socket."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.bench.ports import free_ports
from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.upstream import EVENT_COUNT, UpstreamStandin
from catkinreach_standins.platform.upstream_behaviour import (
    SILENCE_S,
    Behaviour,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LAST_EVENT = f'id: {EVENT_COUNT}\n'.encode()
RESTART_TIMEOUT_S = 20.0


def _run(
    stage: str, scenario: Callable[[UpstreamStandin], Awaitable[None]]
) -> None:
    async def run() -> None:
        upstream = UpstreamStandin('u', 'service', stage, crashing_part='dead')
        await upstream.start(free_ports(1)[0])
        await scenario(upstream)
        upstream.close()

    asyncio.run(run())


def _request(request_id: str, **headers: str) -> bytes:
    lines = [
        'GET / HTTP/1.1',
        'Host: h',
        'Expect-Instance: u',
        f'Request-Id: {request_id}',
    ]
    lines += [
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    ]
    return '\r\n'.join((*lines, '', '')).encode()


async def _fetch(upstream: UpstreamStandin, *requests: bytes) -> bytes:
    """Returns everything that is sent until the connection ends.

    All responses but the last are taken to have no body.
    """
    host, _, port = upstream.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    *earlier, last = requests
    received = b''
    try:
        for request in earlier:
            writer.write(request)
            received += await reader.readuntil(b'\r\n\r\n')
        writer.write(last)
        writer.write_eof()
        while chunk := await reader.read(65_536):
            received += chunk
    except OSError:
        return received + b'RESET'
    finally:
        writer.close()
    return received


@pytest.mark.parametrize('stage', ['', 'decode'])
def test_silent_behaviours_send_the_whole_response(stage: str) -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        loop = asyncio.get_running_loop()
        for behaviour in (Behaviour.SILENT_START, Behaviour.SILENT_MIDWAY):
            upstream.script.append(behaviour)
            started_s = loop.time()
            received = await _fetch(upstream, _request('r'))
            assert loop.time() - started_s > 0.9 * SILENCE_S
            assert received.endswith(b'0\r\n\r\n' if stage else b'u ran r')

    _run(stage, scenario)


@pytest.mark.parametrize(
    ('stage', 'end'), [('', b'u ran r'), ('decode', LAST_EVENT)]
)
def test_response_without_length_ends_or_is_reset(
    stage: str, end: bytes
) -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        upstream.script += (Behaviour.CLOSED_END, Behaviour.RESET_BODY)
        whole = await _fetch(upstream, _request('r'))
        assert end in whole
        assert b'Content-Length' not in whole
        assert b'chunked' not in whole
        assert not upstream.faulty_ids
        broken_off = await _fetch(upstream, _request('r'))
        assert broken_off.endswith(b'RESET')
        assert end not in broken_off
        assert upstream.faulty_ids == {'r'}

    _run(stage, scenario)


def test_cut_head_has_no_end() -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        upstream.script.append(Behaviour.CUT_HEAD)
        received = await _fetch(upstream, _request('r'))
        assert received.startswith(b'HTTP/1.1 200 OK')
        assert b'\r\n\r\n' not in received

    _run('', scenario)


@pytest.mark.parametrize(
    ('behaviour', 'named_count'),
    [(Behaviour.REPEAT_REFUSAL, 2), (Behaviour.REPEAT_UNNAMED, 1)],
)
def test_refusal_comes_again_before_the_next_response(
    behaviour: Behaviour, named_count: int
) -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        upstream.script.append(behaviour)
        received = await _fetch(upstream, _request('one'), _request('two'))
        assert received.count(b'Not-Executed') == 2
        assert received.count(b'Request-Id: one') == named_count
        assert received.endswith(b'u ran two')
        assert upstream.runs == {'two': 1}
        assert upstream.faulty_ids == {'two'}

    _run('', scenario)


def test_resumed_stream_fails_after_one_broke_off() -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        upstream.script.append(Behaviour.FAIL_RESUMED)
        assert LAST_EVENT not in await _fetch(upstream, _request('r'))
        resumed = await _fetch(upstream, _request('r', last_event_id='3'))
        assert resumed.startswith(b'HTTP/1.1 500')

    _run('decode', scenario)


def test_crashing_request_crashes_an_engine_for_a_time() -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        healthy = _request('r', prompt_prefix='a:1,dead:1')
        crashing = _request('d', prompt_prefix='a:1,dead:1,b:1')
        assert LAST_EVENT in await _fetch(upstream, healthy)
        assert await _fetch(upstream, crashing) == b'RESET'
        assert len(upstream.crashes_s) == 1

        async def is_back() -> bool:
            return LAST_EVENT in await _fetch_or_nothing(upstream, healthy)

        await eventually(is_back, within_s=RESTART_TIMEOUT_S)

    _run('decode', scenario)


async def _fetch_or_nothing(upstream: UpstreamStandin, request: bytes) -> bytes:
    try:
        return await _fetch(upstream, request)
    except ConnectionRefusedError:
        return b''


def test_upstream_that_leaves_hides_it_in_some_answers() -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        born = upstream.entry()['born']
        upstream.availability.is_leaving = True
        upstream.script.extend([Behaviour.REFUSE, Behaviour.FAIL])
        received = await _fetch(
            upstream, _request('one'), _request('two'), _request('three')
        )
        assert received.count(b'Server-Leaving: 1\r\n') == 3
        upstream.availability.start_anew(keeps_id=False)
        assert upstream.entry()['born'] != born
        assert upstream.instance_id == 'u-1'
        answer = await _fetch(upstream, _request('four'))
        assert answer.startswith(b'HTTP/1.1 421')
        assert b'Server-Leaving' not in answer
        notices = upstream.availability.notices
        assert [one.request_id for one in notices] == ['one', 'two', 'three']

    _run('', scenario)


def test_upstream_that_asks_for_a_pause_runs_requests() -> None:
    async def scenario(upstream: UpstreamStandin) -> None:
        upstream.availability.paused_until_s = time.monotonic() + 60
        refused = await _fetch(upstream, _request('one'))
        upstream.availability.paused_until_s = 0
        upstream.availability.is_refusing = True
        refused_plainly = await _fetch(upstream, _request('two'))
        assert refused.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: ' in refused
        assert b'Retry-After' not in refused_plainly
        assert not upstream.runs

    _run('', scenario)
