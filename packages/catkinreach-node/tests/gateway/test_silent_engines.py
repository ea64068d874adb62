"""Engines that fall silent for a while and keep their requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.silent_upstreams import (
    WHOLE,
    WITHOUT_RETRY,
    DeploymentWithOneRetry,
    DeploymentWithoutOthers,
    DeploymentWithoutRetries,
    decode_engines,
    fetch,
    plain_upstreams,
    run_scenario,
    script_in_turn,
    stream_request,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_standins.platform.deployment import Deployment


def _check_only_engine(
    behaviour: Behaviour, make_deployment: Callable[[], Deployment]
) -> None:
    """Checks that a stream is served by the engine that pauses."""

    async def scenario(deployment: Deployment) -> None:
        for engine in decode_engines(deployment):
            engine.script.append(behaviour)
        request = stream_request(deployment)
        assert await fetch(deployment, request) == (200, WHOLE)
        sends = [len(one.received) for one in decode_engines(deployment)]
        assert sum(sends) == 1

    run_scenario(scenario, make_deployment)


# A healthy engine paused, and its stream was closed with no other engine to go
# to.
def test_silent_engine_keeps_its_stream_without_another_engine() -> None:
    _check_only_engine(Behaviour.PAUSE, DeploymentWithoutOthers)


# A healthy engine paused, and its stream was closed without a retry to spend.
def test_silent_engine_keeps_its_stream_without_retry_budget() -> None:
    _check_only_engine(Behaviour.PAUSE, DeploymentWithoutRetries)


# A healthy engine paused, and its stream was closed before another one refused.
def test_silent_engine_keeps_its_stream_when_another_refuses() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.REFUSE
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (1, 1)
        assert not first.abandoned_ids

    run_scenario(scenario)


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
        upstreams = plain_upstreams(deployment)
        for upstream in upstreams:
            upstream.script.append(Behaviour.PAUSE)
        request = deployment.make_request('/read/')
        status, body = await fetch(deployment, request)
        assert status == 200
        assert body.decode().endswith(request.header('request-id') or '?')
        assert sum(len(one.received) for one in upstreams) == 1

    run_scenario(scenario, make_deployment)


def test_request_given_up_for_a_retry_spends_the_budget_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.HANG, Behaviour.SERVE
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (1, 1)

    run_scenario(scenario, DeploymentWithOneRetry)
