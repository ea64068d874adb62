"""Engines that say in their answers that they leave, or ask for a pause."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.gateway.upstream_pool import UpstreamPool
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.raw_replies import (
    OK_HEAD,
    SEALED,
    STREAM_HEAD,
    WHOLE,
    fetch,
    make_request,
    script_replies,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour, RawReply

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.http.connection import ClientConnection

LEAVING = b'Server-Leaving: 1\r\n'
BODY = b'Content-Length: 4\r\n\r\nbody'
PAUSE_S = 1.0
EARLY_S = 0.3
"""Time before the end of a pause at which no request may arrive."""

LEAVING_PLAIN = RawReply(OK_HEAD + LEAVING + BODY, stays_open=True)
LEAVING_FAILURE = RawReply(
    b'HTTP/1.1 500 Failed\r\n' + SEALED + LEAVING + BODY, stays_open=True
)
LEAVING_REFUSAL = RawReply(
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\n'
    + LEAVING
    + BODY,
    stays_open=True,
)
LEAVING_STREAM = RawReply(
    STREAM_HEAD
    + LEAVING
    + f'Content-Length: {len(WHOLE)}\r\n\r\n'.encode()
    + WHOLE,
    stays_open=True,
)
PAUSE = RawReply(
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\n'
    + f'Retry-After: {PAUSE_S}\r\n'.encode()
    + BODY,
    stays_open=True,
)
REQUESTS = 8
MANY = 200
SLOW_S = 0.1
"""Time that a request takes, so that none of many can be served by one."""


async def _fetch_some(deployment: Deployment, path: str) -> list[int]:
    """Returns the statuses of some requests, one after the other."""
    requests = [make_request(deployment, path) for _ in range(REQUESTS)]
    return [(await fetch(deployment, one))[0] for one in requests]


async def _fetch_at_once(deployment: Deployment, path: str) -> None:
    """Sends so many requests that no upstream is left out."""
    requests = [make_request(deployment, path) for _ in range(2 * REQUESTS)]
    await asyncio.gather(*(fetch(deployment, one) for one in requests))


async def _use_until_scripts_are_done(
    deployment: Deployment, path: str, name: str
) -> None:
    """Sends requests until an upstream has sent what it was scripted."""
    upstream = deployment.upstreams[name]

    async def is_done() -> bool:
        await _fetch_at_once(deployment, path)
        return not upstream.script

    await eventually(is_done, within_s=3.0)


# Requests were sent to an engine that had said that it leaves.
@pytest.mark.parametrize(
    ('path', 'name', 'reply'),
    [
        ('/read/', 'a', LEAVING_PLAIN),
        ('/order/', 'a', LEAVING_PLAIN),
        ('/read/', 'a', LEAVING_FAILURE),
        ('/read/', 'a', LEAVING_REFUSAL),
        ('/stream/', 'd', LEAVING_STREAM),
        ('/once/', 'd', LEAVING_STREAM),
        ('/stream/', 'd', LEAVING_REFUSAL),
        ('/stream/', 'p', LEAVING_REFUSAL),
    ],
)
def test_engine_that_leaves_gets_requests(
    path: str, name: str, reply: RawReply
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            script_replies(deployment, name, reply)
            await _use_until_scripts_are_done(deployment, path, name)
            upstream = deployment.upstreams[name]
            before = len(upstream.received)
            deployment.publish_upstream(upstream, sequence=2)
            await asyncio.sleep(0.5)
            for one in deployment.upstreams.values():
                one.pause_s = SLOW_S
                one.script.extend([Behaviour.PAUSE] * MANY)
            for _ in range(3):
                await _fetch_at_once(deployment, path)
            assert len(upstream.received) == before
            for one in deployment.upstreams.values():
                one.script.clear()
            deployment.publish_upstream(upstream, born=1_700_000_009_000)

            async def is_used() -> bool:
                await _fetch_at_once(deployment, path)
                return len(upstream.received) > before

            await eventually(is_used, within_s=3.0)

    asyncio.run(run())


@pytest.mark.parametrize(
    ('path', 'name'), [('/read/', 'a'), ('/order/', 'a'), ('/stream/', 'd')]
)
def test_engine_that_asked_for_a_pause_gets_requests(
    path: str, name: str
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            script_replies(deployment, name, PAUSE)
            await _use_until_scripts_are_done(deployment, path, name)
            upstream = deployment.upstreams[name]
            refused_s = upstream.received[-1].at_s
            assert time.monotonic() < refused_s + EARLY_S
            for one in deployment.upstreams.values():
                one.pause_s = SLOW_S
                one.script.extend([Behaviour.PAUSE] * MANY)
            while time.monotonic() < refused_s + PAUSE_S - EARLY_S:
                await _fetch_some(deployment, path)
            assert upstream.received[-1].at_s == refused_s
            for other in 'abde'.replace(name, ''):
                deployment.publish_upstream(
                    deployment.upstreams[other], state='draining', sequence=2
                )

            async def is_used() -> bool:
                await _fetch_at_once(deployment, path)
                return upstream.received[-1].at_s >= refused_s + PAUSE_S

            await eventually(is_used, within_s=3.0)

    asyncio.run(run())


@pytest.mark.parametrize(
    ('path', 'names'), [('/read/', 'ab'), ('/stream/', 'de'), ('/once/', 'de')]
)
def test_request_waits_though_all_upstreams_asked_for_a_pause(
    path: str, names: str
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            script_replies(deployment, names, PAUSE)
            for name in names:
                await _use_until_scripts_are_done(deployment, path, name)
            started_s = time.monotonic()
            request = make_request(deployment, path)
            async with deployment.client.exchange(
                deployment.caller_address, request
            ) as response:
                await response.read()
                assert response.status == 503
                retry_after_s = float(response.header('retry-after') or '0')
            assert time.monotonic() - started_s < EARLY_S
            first_end_s = PAUSE_S + min(
                deployment.upstreams[name].received[-1].at_s for name in names
            )
            assert first_end_s - time.monotonic() < retry_after_s
            assert EARLY_S < retry_after_s <= PAUSE_S + EARLY_S

    asyncio.run(run())


def test_request_that_waited_is_sent_to_an_engine_that_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    acquire = UpstreamPool.acquire

    async def run() -> None:
        async with running_deployment() as (deployment, gateway):
            node = gateway._node

            async def acquire_late(
                pool: UpstreamPool, upstream: Upstream
            ) -> ClientConnection:
                connection = await acquire(pool, upstream)
                if upstream.upstream_id == 'a':
                    node.availability.record_leaving(upstream)
                return connection

            monkeypatch.setattr(UpstreamPool, 'acquire', acquire_late)
            assert await _fetch_some(deployment, '/order/') == [200] * REQUESTS
            assert not deployment.upstreams['a'].received
            assert not node.health.unreachable_upstreams()

    asyncio.run(run())
