"""How often another engine is looked for while an engine is silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.gateway import event_relay, handover
from catkinreach_node.gateway.upstream_checks import (
    CHECK_INTERVAL_S,
    UpstreamChecks,
)
from catkinreach_standins.platform.config import (
    MODEL_SERVICE,
    make_config,
    make_route,
)
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.http.messages import HttpRequest

CONFIG_APPLY_S = 0.5
MAX_SEARCHES = 8
STREAMS = 10
PAUSE_S = 2.5


def _deployment() -> Deployment:
    """Returns a deployment with one decode engine."""
    deployment = Deployment()
    del deployment.upstreams['e']
    return deployment


def _stream(deployment: Deployment, path: str) -> HttpRequest:
    return deployment.make_request(
        path, method='POST', body=b'p', token_count='100,100'
    )


@pytest.mark.parametrize('gap_target_ms', [0, 1])
def test_other_engines_are_sought_without_pause(
    monkeypatch: pytest.MonkeyPatch, gap_target_ms: int
) -> None:
    # A route without a gap target was searched for 943 times in 1.2 s.
    searches: list[object] = []
    real_handover = handover.Handover

    def count(*inputs: object) -> object:
        searches.append(inputs)
        return real_handover(*inputs)  # type: ignore[arg-type, type-var]

    monkeypatch.setattr(event_relay, 'Handover', count)

    async def run() -> None:
        async with running_deployment(deployment=_deployment()) as (
            deployment,
            _,
        ):
            config = make_config(6)
            route = make_route(
                'calm',
                'streaming',
                MODEL_SERVICE,
                resumable=True,
                **{'gap-aim-ms': gap_target_ms},
            )
            config['routes'].append(route)  # type: ignore[attr-defined]
            deployment.store.put('op/config', config)
            await asyncio.sleep(CONFIG_APPLY_S)
            deployment.upstreams['d'].script.append(Behaviour.PAUSE)
            status, _body = await deployment.client.call_raw(
                deployment.caller_address, _stream(deployment, '/calm/')
            )
            assert status == 200

    asyncio.run(run())
    assert 0 < len(searches) <= MAX_SEARCHES


def test_each_silent_stream_checks_its_engine_at_each_search(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each check opens a connection: ten streams made 30 in 2.5 s.
    checked: list[str] = []
    real_check = UpstreamChecks.check_reachable

    def check(checks: UpstreamChecks, upstream: Upstream) -> None:
        checked.append(upstream.upstream_id)
        real_check(checks, upstream)

    monkeypatch.setattr(UpstreamChecks, 'check_reachable', check)

    async def run() -> None:
        async with running_deployment(deployment=_deployment()) as (
            deployment,
            _,
        ):
            engine = deployment.upstreams['d']
            engine.pause_s = PAUSE_S
            engine.script.extend([Behaviour.PAUSE] * STREAMS)
            calls = [
                deployment.client.call_raw(
                    deployment.caller_address, _stream(deployment, '/stream/')
                )
                for _ in range(STREAMS)
            ]
            answers = await asyncio.gather(*calls)
            assert [status for status, _ in answers] == [200] * STREAMS

    asyncio.run(run())
    assert len(checked) <= PAUSE_S / CHECK_INTERVAL_S + 1
