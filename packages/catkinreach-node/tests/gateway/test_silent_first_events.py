"""Healthy engines that are silent before the first event of a stream."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_standins.platform.deployment import (
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream import EVENT_COUNT
from catkinreach_standins.platform.upstream_behaviour import (
    Behaviour,
    RawReply,
)

ENGINE_FAILURE = RawReply(
    b'HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\n'
    b'Response-Seal: seal\r\nContent-Length: 5\r\n\r\nerror'
)
ENGINE_IDS = ('d', 'e')
PLAIN_IDS = ('a', 'b')
LAST_EVENT = f'id: {EVENT_COUNT}\n'.encode()


@pytest.mark.parametrize(
    'other', [Behaviour.REFUSE, Behaviour.CUT_HEAD, ENGINE_FAILURE]
)
def test_silent_engine_is_closed_before_another_one_has_begun(
    other: Behaviour | RawReply,
) -> None:
    # Soak seed 404: 504 after 0.4 s, while the engine went on.
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            engines = [deployment.upstreams[name] for name in ENGINE_IDS]
            for engine in engines:
                engine.script.append(Behaviour.PAUSE_FIRST)
            request = deployment.make_request(
                '/stream/', method='POST', body=b'p', token_count='1000,100'
            )
            fetching = asyncio.ensure_future(
                deployment.client.call_raw(deployment.caller_address, request)
            )

            async def is_sent() -> bool:
                return any(engine.received for engine in engines)

            await eventually(is_sent, within_s=1.0)
            for engine in engines:
                if not engine.received:
                    engine.script.clear()
                    engine.script.append(other)
            status, body = await fetching
            assert status == 200
            assert LAST_EVENT in body

    asyncio.run(run())


def test_silent_engine_is_closed_to_get_its_stream_anew() -> None:
    # Soak seed 404: the replacement was lost, and the engine was full by then.
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            engines = [deployment.upstreams[name] for name in ENGINE_IDS]
            for engine in engines:
                engine.script.extend([Behaviour.PAUSE_FIRST, Behaviour.REFUSE])
            request = deployment.make_request(
                '/stream/', method='POST', body=b'p', token_count='1000,100'
            )
            fetching = asyncio.ensure_future(
                deployment.client.call_raw(deployment.caller_address, request)
            )

            async def is_sent() -> bool:
                return any(engine.received for engine in engines)

            await eventually(is_sent, within_s=1.0)
            for engine in engines:
                if not engine.received:
                    engine.script.clear()
                    engine.script.append(Behaviour.CUT_HEAD)
            status, body = await fetching
            assert status == 200
            assert LAST_EVENT in body

    asyncio.run(run())


@pytest.mark.parametrize(
    'other', [Behaviour.REFUSE, Behaviour.CUT_HEAD, Behaviour.FAIL]
)
def test_silent_upstream_is_given_up_for_one_that_fails(
    other: Behaviour,
) -> None:
    # The same for plain requests: 504 or 502 long before the deadline.
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            upstreams = [deployment.upstreams[name] for name in PLAIN_IDS]
            for upstream in upstreams:
                upstream.script.append(Behaviour.PAUSE)
            fetching = asyncio.ensure_future(
                deployment.client.call_raw(
                    deployment.caller_address, deployment.make_request('/read/')
                )
            )

            async def is_sent() -> bool:
                return any(upstream.received for upstream in upstreams)

            await eventually(is_sent, within_s=1.0)
            for upstream in upstreams:
                if not upstream.received:
                    upstream.script.clear()
                    upstream.script.append(other)
            status, _ = await fetching
            assert status == 200

    asyncio.run(run())
