"""Engines that fall silent for a while and go on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace

from catkinreach_core.gateway.retry_budget import SLACK_USE
from catkinreach_node.gateway.upstream_checks import UpstreamChecks
from catkinreach_standins.platform.config import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_config,
    make_route,
)
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream import (
    EVENT_COUNT,
    UpstreamStandin,
)
from catkinreach_standins.platform.upstream_behaviour import (
    Behaviour,
    RawReply,
)
from catkinreach_standins.platform.upstream_replies import (
    StreamFraming,
    refusal,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.gateway.settings import GatewaySettings
    from catkinreach_node.http.messages import HttpRequest

TWO_ENGINES_S = 0.4
"""Longest time for which two engines may run one stream."""

MEDIUM_PAUSE_S = 1.6
LONG_PAUSE_S = 2.5
WHOLE = b''.join(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)


class _DeploymentWithoutOthers(Deployment):
    def __init__(self) -> None:
        """Starts with one plain upstream and one decode engine."""
        super().__init__()
        del self.upstreams['b'], self.upstreams['e']


class _DeploymentWithoutRetries(Deployment):
    _retries = 0

    def settings(self) -> GatewaySettings:
        """Returns settings with a fixed number of retries."""
        settings = super().settings()
        slack = self._retries / SLACK_USE
        bounds = replace(settings.bounds, repeat_ratio=0.0, repeat_slack=slack)
        return replace(settings, bounds=bounds)


class _DeploymentWithOneRetry(_DeploymentWithoutRetries):
    _retries = 1


class _DeploymentWithMoreAttempts(Deployment):
    def publish(self) -> None:
        """Publishes a configuration that allows three sends."""
        super().publish()
        route = make_route(
            'stream',
            'streaming',
            MODEL_SERVICE,
            **{'max-attempts': 3, 'resumable': True},
        )
        self.store.put('op/config', make_config(6, routes=[route]))


class _DeploymentWithLatePrefill(Deployment):
    def publish_upstream(
        self, upstream: UpstreamStandin, **changed: object
    ) -> None:
        """Publishes the prefill engine only once decode engines are busy."""
        is_busy = any(one.received for one in _decode_engines(self))
        if upstream.stage != 'prefill' or is_busy:
            super().publish_upstream(upstream, **changed)


LATE_S = 0.5
"""Time after which an engine fails that got the request of a silent one; the
silent one's stream is closed by then."""

LATE_REFUSAL = RawReply(refusal('{id}'), delay_s=LATE_S, stays_open=True)
LATE_LOSS = RawReply(b'', delay_s=LATE_S, is_reset=True)
WITHOUT_RETRY = [_DeploymentWithoutOthers, _DeploymentWithoutRetries]


def _run(
    scenario: Callable[[Deployment], Awaitable[None]],
    make_deployment: Callable[[], Deployment] = Deployment,
) -> None:
    async def run() -> None:
        deployment = make_deployment()
        async with running_deployment(deployment=deployment):
            await scenario(deployment)

    asyncio.run(run())


def _stream_request(deployment: Deployment) -> HttpRequest:
    return deployment.make_request(
        '/stream/', method='POST', body=b'prompt', token_count='1000,100'
    )


async def _fetch(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, bytes]:
    client = deployment.client
    async with client.exchange(deployment.caller_address, request) as response:
        return response.status, await response.read()


def _decode_engines(deployment: Deployment) -> list[UpstreamStandin]:
    return [
        upstream
        for upstream in deployment.upstreams.values()
        if upstream.service == MODEL_SERVICE and upstream.stage == 'decode'
    ]


def _plain_upstreams(deployment: Deployment) -> list[UpstreamStandin]:
    return [
        upstream
        for upstream in deployment.upstreams.values()
        if upstream.service == PLAIN_SERVICE
    ]


def _set_pause(deployment: Deployment, pause_s: float) -> None:
    for upstream in deployment.upstreams.values():
        upstream.pause_s = pause_s


async def _script_in_turn(
    deployment: Deployment,
    first: Behaviour,
    other: Behaviour | RawReply,
    find: Callable[[Deployment], list[UpstreamStandin]] = _decode_engines,
) -> tuple[UpstreamStandin, UpstreamStandin]:
    """Scripts the engine that is used first, and then the other one."""
    engines = find(deployment)
    for engine in engines:
        engine.script.append(first)

    async def is_sent() -> bool:
        return any(engine.received for engine in engines)

    await eventually(is_sent, within_s=1.0)
    engines.sort(key=lambda engine: not engine.received)
    engines[1].script.clear()
    engines[1].script.extend([other] * 9)
    return engines[0], engines[1]


def _check_only_engine(
    behaviour: Behaviour, make_deployment: Callable[[], Deployment]
) -> None:
    """Checks that a stream is served by the engine that pauses."""

    async def scenario(deployment: Deployment) -> None:
        for engine in _decode_engines(deployment):
            engine.script.append(behaviour)
        request = _stream_request(deployment)
        assert await _fetch(deployment, request) == (200, WHOLE)
        sends = [len(one.received) for one in _decode_engines(deployment)]
        assert sum(sends) == 1

    _run(scenario, make_deployment)


# A healthy engine paused, and its stream was closed with no other engine to go
# to.
def test_silent_engine_keeps_its_stream_without_another_engine() -> None:
    _check_only_engine(Behaviour.PAUSE, _DeploymentWithoutOthers)


# A healthy engine paused, and its stream was closed without a retry to spend.
def test_silent_engine_keeps_its_stream_without_retry_budget() -> None:
    _check_only_engine(Behaviour.PAUSE, _DeploymentWithoutRetries)


# A healthy engine paused, and its stream was closed before another one refused.
def test_silent_engine_keeps_its_stream_when_another_refuses() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.REFUSE
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (1, 1)
        assert not first.abandoned_ids

    _run(scenario)


# A healthy engine was silent before its first event, and callers got a 504.
@pytest.mark.parametrize('make_deployment', WITHOUT_RETRY)
def test_engine_that_starts_slowly_keeps_its_stream(
    make_deployment: Callable[[], Deployment],
) -> None:
    _check_only_engine(Behaviour.PAUSE_FIRST, make_deployment)


# A healthy upstream was silent before its reply, and callers got a 504.
@pytest.mark.parametrize('make_deployment', WITHOUT_RETRY)
def test_upstream_that_replies_slowly_keeps_its_request(
    make_deployment: Callable[[], Deployment],
) -> None:
    async def scenario(deployment: Deployment) -> None:
        plain_upstreams = _plain_upstreams(deployment)
        for upstream in plain_upstreams:
            upstream.script.append(Behaviour.PAUSE)
        request = deployment.make_request('/read/')
        status, body = await _fetch(deployment, request)
        assert status == 200
        assert body.decode().endswith(request.header('request-id') or '?')
        assert sum(len(one.received) for one in plain_upstreams) == 1

    _run(scenario, make_deployment)


def test_request_given_up_for_a_retry_spends_the_budget_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.HANG, Behaviour.SERVE
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (1, 1)

    _run(scenario, _DeploymentWithOneRetry)


def test_silent_engine_is_replaced_with_the_next_event() -> None:
    async def scenario(deployment: Deployment) -> None:
        _set_pause(deployment, LONG_PAUSE_S)
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.SERVE
        )
        assert await fetching == (200, WHOLE)
        (resumed,) = other.received
        assert resumed.headers['last-event-id'] == '3'
        assert first.abandoned_ids == [resumed.request_id]

    _run(scenario)


@pytest.mark.parametrize(
    ('other_behaviour', 'pause_s'),
    [
        (Behaviour.SERVE, LONG_PAUSE_S),
        (Behaviour.PAUSE_FIRST, MEDIUM_PAUSE_S),
    ],
)
def test_replaced_stream_without_length_looks_complete(
    monkeypatch: pytest.MonkeyPatch, other_behaviour: Behaviour, pause_s: float
) -> None:
    # The end of the closed connection was taken for the end of the body.
    monkeypatch.setattr(
        'catkinreach_standins.platform.upstream_stream.StreamFraming',
        _framing_without_length,
    )

    async def scenario(deployment: Deployment) -> None:
        _set_pause(deployment, pause_s)
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        await _script_in_turn(deployment, Behaviour.PAUSE, other_behaviour)
        assert await fetching == (200, WHOLE)

    _run(scenario)


def _framing_without_length(*, is_chunked: bool) -> StreamFraming:
    del is_chunked
    return StreamFraming(is_chunked=False)


@pytest.mark.parametrize('make_deployment', WITHOUT_RETRY)
def test_engine_that_hangs_without_a_retry_is_not_checked(
    monkeypatch: pytest.MonkeyPatch, make_deployment: type[Deployment]
) -> None:
    # It was checked at the deadline only, and got more streams until then.
    checked: list[str] = []
    real_check = UpstreamChecks.check_reachable

    def check(checks: UpstreamChecks, known: Upstream) -> None:
        checked.append(known.upstream_id)
        real_check(checks, known)

    monkeypatch.setattr(UpstreamChecks, 'check_reachable', check)

    async def scenario(deployment: Deployment) -> None:
        for engine in _decode_engines(deployment):
            engine.script.append(Behaviour.HANG)
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        await asyncio.sleep(LONG_PAUSE_S)
        assert checked
        fetching.cancel()

    _run(scenario, make_deployment)


def test_silent_engine_is_closed_beside_one_that_starts_slowly() -> None:
    async def scenario(deployment: Deployment) -> None:
        _set_pause(deployment, MEDIUM_PAUSE_S)
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.PAUSE_FIRST
        )

        async def is_sent() -> bool:
            return bool(other.received)

        async def is_closed() -> bool:
            return bool(first.abandoned_ids)

        await eventually(is_sent, within_s=2.0)
        await eventually(is_closed, within_s=TWO_ENGINES_S)
        assert await fetching == (200, WHOLE)

    _run(scenario)


def test_caller_that_leaves_during_a_handover_ends_both_streams() -> None:
    async def scenario(deployment: Deployment) -> None:
        _set_pause(deployment, MEDIUM_PAUSE_S)
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.PAUSE_FIRST
        )

        async def is_sent() -> bool:
            return bool(other.received)

        async def are_closed() -> bool:
            return bool(first.abandoned_ids and other.abandoned_ids)

        await eventually(is_sent, within_s=2.0)
        fetching.cancel()
        await eventually(are_closed, within_s=0.5)

    _run(scenario)


@pytest.mark.parametrize(
    ('other_behaviour', 'make_deployment'),
    [
        (LATE_REFUSAL, Deployment),
        (LATE_REFUSAL, _DeploymentWithMoreAttempts),
        (LATE_LOSS, _DeploymentWithMoreAttempts),
        (Behaviour.HANG, _DeploymentWithMoreAttempts),
    ],
)
def test_late_failure_of_the_replacement_ends_the_stream(
    other_behaviour: Behaviour | RawReply,
    make_deployment: Callable[[], Deployment],
) -> None:
    # The paused engine was healthy, but could not get the stream back.
    async def scenario(deployment: Deployment) -> None:
        _set_pause(deployment, LONG_PAUSE_S)
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.PAUSE, other_behaviour
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (2, 1)
        assert first.received[1].headers['last-event-id'] == '3'

    _run(scenario, make_deployment)


def test_kv_handle_of_a_resumption_is_not_released() -> None:
    # Only the handle of a first send was released.
    async def scenario(deployment: Deployment) -> None:
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        await _script_in_turn(deployment, Behaviour.PAUSE, Behaviour.REFUSE)
        prefill = deployment.upstreams['p']
        deployment.publish_upstream(prefill)
        assert await fetching == (200, WHOLE)

        async def is_released() -> bool:
            return [one.method for one in prefill.received] == [
                'POST',
                'DELETE',
            ]

        await eventually(is_released, within_s=1.0)

    _run(scenario, _DeploymentWithLatePrefill)


def test_refusal_after_a_silent_start_ends_the_request() -> None:
    # The silent engine was given up for one that refused, and was excluded.
    async def scenario(deployment: Deployment) -> None:
        _set_pause(deployment, LONG_PAUSE_S)
        request = _stream_request(deployment)
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.PAUSE_FIRST, Behaviour.REFUSE
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (2, 1)

    _run(scenario)


def test_refusal_after_silence_ends_a_plain_request() -> None:
    async def scenario(deployment: Deployment) -> None:
        _set_pause(deployment, LONG_PAUSE_S)
        request = deployment.make_request('/read/')
        fetching = asyncio.ensure_future(_fetch(deployment, request))
        first, other = await _script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.REFUSE, _plain_upstreams
        )
        status, _ = await fetching
        assert status == 200
        assert (len(first.received), len(other.received)) == (2, 1)

    _run(scenario)
