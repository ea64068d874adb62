"""Engines that fall silent, and those that replace them."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.gateway.upstream_checks import UpstreamChecks
from catkinreach_standins.platform.deployment import Deployment, eventually
from catkinreach_standins.platform.silent_upstreams import (
    LATE_LOSS,
    LATE_REFUSAL,
    WHOLE,
    WITHOUT_RETRY,
    DeploymentWithLatePrefill,
    DeploymentWithMoreAttempts,
    DeploymentWithOneRetry,
    DeploymentWithThreeEngines,
    decode_engines,
    fetch,
    plain_upstreams,
    run_scenario,
    script_in_turn,
    set_pause,
    stream_request,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour, RawReply
from catkinreach_standins.platform.upstream_replies import StreamFraming

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.upstream import Upstream

TWO_ENGINES_S = 0.4
"""Longest time for which two engines may run one stream."""

MEDIUM_PAUSE_S = 1.6
LONG_PAUSE_S = 2.5


def test_silent_engine_is_replaced_with_the_next_event() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, LONG_PAUSE_S)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.SERVE
        )
        assert await fetching == (200, WHOLE)
        (resumed,) = other.received
        assert resumed.headers['last-event-id'] == '3'
        assert first.abandoned_ids == [resumed.request_id]

    run_scenario(scenario)


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
        set_pause(deployment, pause_s)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        await script_in_turn(deployment, Behaviour.PAUSE, other_behaviour)
        assert await fetching == (200, WHOLE)

    run_scenario(scenario)


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
        for engine in decode_engines(deployment):
            engine.script.append(Behaviour.HANG)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        await asyncio.sleep(LONG_PAUSE_S)
        assert checked
        fetching.cancel()

    run_scenario(scenario, make_deployment)


def test_silent_engine_is_closed_beside_one_that_starts_slowly() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, MEDIUM_PAUSE_S)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.PAUSE_FIRST
        )

        async def is_sent() -> bool:
            return bool(other.received)

        async def is_closed() -> bool:
            return bool(first.abandoned_ids)

        await eventually(is_sent, within_s=2.0)
        await eventually(is_closed, within_s=TWO_ENGINES_S)
        assert await fetching == (200, WHOLE)

    run_scenario(scenario)


def test_caller_that_leaves_during_a_handover_ends_both_streams() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, MEDIUM_PAUSE_S)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.PAUSE_FIRST
        )

        async def is_sent() -> bool:
            return bool(other.received)

        async def are_closed() -> bool:
            return bool(first.abandoned_ids and other.abandoned_ids)

        await eventually(is_sent, within_s=2.0)
        fetching.cancel()
        await eventually(are_closed, within_s=0.5)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('other_behaviour', 'make_deployment'),
    [
        (LATE_REFUSAL, Deployment),
        (LATE_REFUSAL, DeploymentWithMoreAttempts),
        (LATE_LOSS, DeploymentWithMoreAttempts),
        (Behaviour.HANG, DeploymentWithMoreAttempts),
    ],
)
def test_late_failure_of_the_replacement_ends_the_stream(
    other_behaviour: Behaviour | RawReply,
    make_deployment: Callable[[], Deployment],
) -> None:
    # The paused engine was healthy, but could not get the stream back.
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, LONG_PAUSE_S)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.PAUSE, other_behaviour
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (2, 1)
        assert first.received[1].headers['last-event-id'] == '3'

    run_scenario(scenario, make_deployment)


def test_kv_handle_of_a_resumption_is_not_released() -> None:
    # Only the handle of a first send was released.
    async def scenario(deployment: Deployment) -> None:
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        await script_in_turn(deployment, Behaviour.PAUSE, Behaviour.REFUSE)
        prefill = deployment.upstreams['p']
        deployment.publish_upstream(prefill)
        assert await fetching == (200, WHOLE)

        async def is_released() -> bool:
            return [one.method for one in prefill.received] == [
                'POST',
                'DELETE',
            ]

        await eventually(is_released, within_s=1.0)

    run_scenario(scenario, DeploymentWithLatePrefill)


def test_refusal_after_a_silent_start_ends_the_request() -> None:
    # The silent engine was given up for one that refused, and was excluded.
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, LONG_PAUSE_S)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.PAUSE_FIRST, Behaviour.REFUSE
        )
        assert await fetching == (200, WHOLE)
        assert (len(first.received), len(other.received)) == (2, 1)

    run_scenario(scenario)


def test_refusal_after_silence_ends_a_plain_request() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, LONG_PAUSE_S)
        request = deployment.make_request('/read/')
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, other = await script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.REFUSE, plain_upstreams
        )
        status, _ = await fetching
        assert status == 200
        assert (len(first.received), len(other.received)) == (2, 1)

    run_scenario(scenario)


# Two engines refused the stream, the second one so late that the silent engine
# was closed by then, and no retry was left to return to it.
def test_late_refusal_by_a_further_engine_ends_the_stream() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, LONG_PAUSE_S)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, _ = await script_in_turn(
            deployment, Behaviour.PAUSE, Behaviour.REFUSE
        )
        refusals: deque[Behaviour | RawReply] = deque([LATE_REFUSAL] * 9)
        refusals.appendleft(Behaviour.REFUSE)
        for engine in decode_engines(deployment):
            if engine is not first:
                engine.script = refusals
        assert await fetching == (200, WHOLE)
        assert not first.abandoned_ids

    run_scenario(scenario, DeploymentWithThreeEngines)


# A sound engine was closed for one that failed later, with nothing left to
# return to it by.
@pytest.mark.parametrize(
    'other_behaviour', [LATE_REFUSAL, LATE_LOSS, Behaviour.HANG]
)
def test_silent_engine_is_closed_without_a_retry_to_return(
    other_behaviour: Behaviour | RawReply,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, MEDIUM_PAUSE_S)
        request = stream_request(deployment)
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, _ = await script_in_turn(
            deployment, Behaviour.PAUSE, other_behaviour
        )
        assert await fetching == (200, WHOLE)
        assert not first.abandoned_ids

    run_scenario(scenario, DeploymentWithOneRetry)
