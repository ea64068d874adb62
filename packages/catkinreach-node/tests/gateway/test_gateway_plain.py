"""Requests to plain services, through real sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream import Behaviour

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_node.http.messages import HttpRequest

FIRST_ANSWER_S = 2.0


def _run(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            await scenario(deployment)

    asyncio.run(run())


async def _admitted(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, dict[str, str], bytes]:
    client = deployment.client
    async with client.exchange(deployment.front, request) as response:
        body = await response.read()
        return response.status, dict(response.headers), body


def _script(deployment: Deployment, *behaviours: Behaviour) -> None:
    """Gives both plain upstreams the same next behaviours."""
    for name in ('a', 'b'):
        deployment.upstreams[name].script.extend(behaviours)


def _runs(deployment: Deployment, request: HttpRequest) -> int:
    request_id = request.header('request-id')
    assert request_id is not None
    return sum(
        upstream.runs[request_id] for upstream in deployment.upstreams.values()
    )


def test_upstream_gets_the_workspace_and_never_the_key() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = deployment.request(
            '/read/x?y=1', tenant='forged', x_other='kept'
        )
        status, headers, body = await _admitted(deployment, request)
        assert status == 200
        assert headers['response-seal'].startswith('seal-')
        (got,) = [
            one
            for upstream in deployment.upstreams.values()
            for one in upstream.received
        ]
        assert body.decode().endswith(got.request_id)
        assert got.target == '/read/x?y=1'
        assert got.headers['tenant'] == 'one'
        assert got.headers['x-other'] == 'kept'
        assert 'authorization' not in got.headers
        assert int(got.headers['deadline-ms']) <= 3000

    _run(scenario)


@pytest.mark.parametrize(
    ('path', 'key', 'expected'),
    [
        ('/nowhere/', 'key-one', 404),
        ('/read/', 'key-none', 401),
        ('/read/', None, 401),
        ('/open/', None, 200),
    ],
)
def test_routes_and_keys(path: str, key: str | None, expected: int) -> None:
    async def scenario(deployment: Deployment) -> None:
        request = deployment.request(path, key=key)
        status, _, _ = await _admitted(deployment, request)
        assert status == expected

    _run(scenario)


def test_node_without_configuration_refuses_and_is_not_ready() -> None:
    async def run() -> None:
        async with running_deployment(is_published=False) as (deployment, _):
            await asyncio.sleep(0.3)
            assert not await deployment.is_ready()
            request = deployment.request('/read/')
            status, headers, _ = await _admitted(deployment, request)
            assert status == 503
            assert 0 < float(headers['retry-after']) < 1

    asyncio.run(run())


@pytest.mark.parametrize(
    'behaviour', [Behaviour.FAIL, Behaviour.BREAK, Behaviour.UNSEALED]
)
def test_repeatable_request_runs_again_elsewhere(behaviour: Behaviour) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['a'].script.extend([behaviour] * 9)
        for _ in range(6):
            request = deployment.request('/read/')
            status, _, _ = await _admitted(deployment, request)
            assert status == 200
            assert _runs(deployment, request) <= 2

    _run(scenario)


@pytest.mark.parametrize(
    ('behaviour', 'expected'),
    [
        (Behaviour.FAIL, 500),
        (Behaviour.BREAK, 502),
        (Behaviour.UNSEALED, 502),
        (Behaviour.HANG, 504),
    ],
)
def test_order_is_sent_once_whatever_happens(
    behaviour: Behaviour, expected: int
) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, behaviour)
        request = deployment.request(
            '/order/', method='POST', body=b'hold', deadline_ms='400'
        )
        request.headers.remove(('deadline-ms', '3000'))
        status, _, _ = await _admitted(deployment, request)
        assert status == expected
        assert _runs(deployment, request) == 1

    _run(scenario)


def test_refused_order_has_not_run_and_says_when_to_return() -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, Behaviour.REFUSE)
        request = deployment.request('/order/', method='POST', body=b'hold')
        status, headers, _ = await _admitted(deployment, request)
        assert status == 503
        assert float(headers['retry-after']) < 1
        assert 'response-seal' not in headers
        assert not _runs(deployment, request)

    _run(scenario)


@pytest.mark.parametrize('behaviour', [Behaviour.EXTRA, Behaviour.UNNAMED])
def test_reply_to_no_request_of_ours_is_passed_over(
    behaviour: Behaviour,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, behaviour)
        request = deployment.request('/order/', method='POST', body=b'hold')
        status, _, body = await _admitted(deployment, request)
        assert status == 200
        assert body.decode().endswith(request.header('request-id') or '?')
        assert _runs(deployment, request) == 1

    _run(scenario)


def test_silent_upstream_costs_a_repeatable_request_little() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['a'].script.extend([Behaviour.HANG] * 9)
        for _ in range(4):
            request = deployment.request('/read/')
            async with asyncio.timeout(FIRST_ANSWER_S):
                status, _, _ = await _admitted(deployment, request)
            assert status == 200

    _run(scenario)


def test_caller_that_leaves_takes_its_request_along() -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, Behaviour.HANG)
        request = deployment.request('/read/')
        calling = asyncio.ensure_future(_admitted(deployment, request))
        await asyncio.sleep(0.2)
        calling.cancel()
        await asyncio.wait({calling})
        await asyncio.sleep(0.3)
        left = [one for up in deployment.upstreams.values() for one in up.left]
        assert left == [request.header('request-id')]

    _run(scenario)


def test_stop_closes_kept_connections_after_their_answer() -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, gateway):
            request = deployment.request('/read/')
            await _admitted(deployment, request)
            gateway.stop()
            _, headers, _ = await _admitted(
                deployment, deployment.request('/read/')
            )
            assert headers['connection'] == 'close'
            assert not await deployment.is_ready()

    asyncio.run(run())
