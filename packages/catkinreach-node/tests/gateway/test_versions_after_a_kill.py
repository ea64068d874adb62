"""Streams that callers resume after all front processes were killed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.upstream import EVENT_COUNT

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

STREAMS = 6
EVENT_GAP_S = 0.4
KILL_AFTER_S = 1.0
RESTART_TIMEOUT_S = 10.0
READ_AFTER_S = 2.5


def _request(
    deployment: Deployment, number: int, **headers: str
) -> HttpRequest:
    return deployment.make_request(
        '/stream/',
        method='POST',
        body=b'prompt',
        token_count='1000,100',
        prompt_prefix=f'aa1:200,bb{number}:800',
        **headers,
    )


async def _count_events(
    deployment: Deployment, front: FrontProcess, request: HttpRequest
) -> tuple[int, int]:
    """Returns the status and the number of events that a caller gets."""
    body = b''
    async with deployment.client.exchange(
        front.caller_address, request, is_new_connection=True
    ) as response:
        try:
            async for data in response.chunks():
                body += data
        except ExchangeError:
            pass
        return response.status, body.count(b'\n\n')


def _server_of(deployment: Deployment, request: HttpRequest) -> list[str]:
    request_id = request.header('request-id') or ''
    return [
        name for name in 'de' if deployment.upstreams[name].runs[request_id]
    ]


# Callers got the first part from one version and the rest from another.
@pytest.mark.parametrize('killed', [1, 3])
def test_resumed_stream_joins_two_versions_after_a_kill(
    tmp_path: Path, killed: int
) -> None:
    async def run() -> None:
        async with running_fronts(3, tmp_path) as (deployment, fronts):
            deployment.upstreams['e'].version = 'v2'
            deployment.publish_upstream(deployment.upstreams['e'])
            for name in 'de':
                deployment.upstreams[name].event_gap_s = EVENT_GAP_S
            await asyncio.sleep(0.5)
            first = [_request(deployment, number) for number in range(STREAMS)]
            streams = [
                asyncio.ensure_future(
                    _count_events(deployment, fronts[0], request)
                )
                for request in first
            ]
            await asyncio.sleep(KILL_AFTER_S)
            for front in fronts[:killed]:
                await front.kill()
            begun = [events for _, events in await asyncio.gather(*streams)]
            assert all(0 < events < EVENT_COUNT for events in begun)
            for front in fronts[:killed]:
                await front.start()
            await eventually(fronts[-1].is_ready, within_s=RESTART_TIMEOUT_S)
            for number, (request, events) in enumerate(
                zip(first, begun, strict=True)
            ):
                resumption = _request(
                    deployment,
                    number,
                    last_event_id=str(events),
                    resumes=request.header('request-id') or '',
                )
                status, rest = await _count_events(
                    deployment, fronts[-1], resumption
                )
                assert (status, events + rest) == (200, EVENT_COUNT)
                assert _server_of(deployment, resumption) == _server_of(
                    deployment, request
                )
            servers = [_server_of(deployment, request) for request in first]
            assert ['d'] in servers
            assert ['e'] in servers

    asyncio.run(run())


# Engines had dropped the prompts for those of new streams by then.
def test_streams_of_before_a_kill_are_resumed_late(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_fronts(2, tmp_path) as (deployment, fronts):
            deployment.upstreams['e'].version = 'v2'
            deployment.publish_upstream(deployment.upstreams['e'])
            for front in fronts:
                await front.kill()
            deployment.upstreams['e'].held_parts.add('bb1')
            for front in fronts:
                await front.start()
            await eventually(fronts[0].is_ready, within_s=RESTART_TIMEOUT_S)
            await asyncio.sleep(READ_AFTER_S)
            deployment.upstreams['e'].held_parts.clear()
            resumption = _request(
                deployment, 1, last_event_id='4', resumes='before'
            )
            status, _ = await _count_events(deployment, fronts[0], resumption)
            assert status == 200
            assert _server_of(deployment, resumption) == ['e']

    asyncio.run(run())
