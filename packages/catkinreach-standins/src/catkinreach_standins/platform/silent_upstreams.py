"""Deployments and scripts for tests of upstreams that fall silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from catkinreach_core.gateway.retry_budget import SLACK_USE

from .config import MODEL_SERVICE, PLAIN_SERVICE, make_config, make_route
from .deployment import Deployment, eventually, running_deployment
from .upstream import EVENT_COUNT, UpstreamStandin
from .upstream_behaviour import Behaviour, RawReply
from .upstream_replies import refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_node.gateway.settings import GatewaySettings
    from catkinreach_node.http.messages import HttpRequest

PROMPT_AND_OUTPUT = '1000,100'

WHOLE = b''.join(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)


class DeploymentWithoutOthers(Deployment):
    """One plain upstream and one decode engine."""

    def __init__(self) -> None:
        """Starts with one plain upstream and one decode engine."""
        super().__init__()
        del self.upstreams['b'], self.upstreams['e']


class DeploymentWithoutRetries(Deployment):
    """A retry budget of a fixed number, none by default."""

    _retries = 0

    def settings(self) -> GatewaySettings:
        """Returns settings with a fixed number of retries."""
        settings = super().settings()
        slack = self._retries / SLACK_USE
        bounds = replace(settings.bounds, repeat_ratio=0.0, repeat_slack=slack)
        return replace(settings, bounds=bounds)


class DeploymentWithOneRetry(DeploymentWithoutRetries):
    """A retry budget of one."""

    _retries = 1


class DeploymentWithMoreAttempts(Deployment):
    """Streams may be sent three times."""

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


class DeploymentWithThreeEngines(
    DeploymentWithMoreAttempts, DeploymentWithoutRetries
):
    """Three decode engines, and a retry budget of two."""

    _retries = 2

    def __init__(self) -> None:
        """Starts with one more decode engine."""
        super().__init__()
        self.upstreams['f'] = UpstreamStandin('f', MODEL_SERVICE, 'decode')


class DeploymentWithLatePrefill(Deployment):
    """The prefill engine comes once decode engines are busy."""

    def publish_upstream(
        self, upstream: UpstreamStandin, **changed: object
    ) -> None:
        """Publishes the prefill engine only once decode engines are busy."""
        is_busy = any(one.received for one in decode_engines(self))
        if upstream.stage != 'prefill' or is_busy:
            super().publish_upstream(upstream, **changed)


LATE_S = 0.5
"""Time after which an engine fails that got the request of a silent one; the
silent one's stream is closed by then."""

LATE_REFUSAL = RawReply(refusal('{id}'), delay_s=LATE_S, stays_open=True)
LATE_LOSS = RawReply(b'', delay_s=LATE_S, is_reset=True)
WITHOUT_RETRY: Final = [DeploymentWithoutOthers, DeploymentWithoutRetries]


def run_scenario(
    scenario: Callable[[Deployment], Awaitable[None]],
    make_deployment: Callable[[], Deployment] = Deployment,
) -> None:
    """Runs a scenario in a deployment."""

    async def run() -> None:
        deployment = make_deployment()
        async with running_deployment(deployment=deployment):
            await scenario(deployment)

    asyncio.run(run())


def stream_request(deployment: Deployment) -> HttpRequest:
    """Returns the request of a stream."""
    return deployment.make_request(
        '/stream/', method='POST', body=b'prompt', token_count=PROMPT_AND_OUTPUT
    )


async def fetch(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, bytes]:
    """Returns the status and the body of a response."""
    client = deployment.client
    async with client.exchange(deployment.caller_address, request) as response:
        return response.status, await response.read()


def decode_engines(deployment: Deployment) -> list[UpstreamStandin]:
    """Returns the decode engines."""
    return [
        upstream
        for upstream in deployment.upstreams.values()
        if upstream.service == MODEL_SERVICE and upstream.stage == 'decode'
    ]


def plain_upstreams(deployment: Deployment) -> list[UpstreamStandin]:
    """Returns the plain upstreams."""
    return [
        upstream
        for upstream in deployment.upstreams.values()
        if upstream.service == PLAIN_SERVICE
    ]


def set_pause(deployment: Deployment, pause_s: float) -> None:
    """Sets how long upstreams pause."""
    for upstream in deployment.upstreams.values():
        upstream.pause_s = pause_s


async def script_in_turn(
    deployment: Deployment,
    first: Behaviour,
    other: Behaviour | RawReply,
    find: Callable[[Deployment], list[UpstreamStandin]] = decode_engines,
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


__all__ = (
    'LATE_LOSS',
    'LATE_REFUSAL',
    'WHOLE',
    'WITHOUT_RETRY',
    'DeploymentWithLatePrefill',
    'DeploymentWithMoreAttempts',
    'DeploymentWithOneRetry',
    'DeploymentWithThreeEngines',
    'DeploymentWithoutOthers',
    'DeploymentWithoutRetries',
    'decode_engines',
    'fetch',
    'plain_upstreams',
    'run_scenario',
    'script_in_turn',
    'set_pause',
    'stream_request',
)
