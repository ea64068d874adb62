"""Fresh engines that fall over above their warm-up load never do."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.settings.fleet import PoolRole
from catkinreach_standins.answer import expected_answer
from catkinreach_standins.bench.deployment import (
    BenchOptions,
    Deployment,
    http_call,
)
from catkinreach_standins.bench.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
KEY = {'authorization': 'Bearer demo-key-sunday-bee'}
CALLERS = 24
WARM_LIMIT_S = 40.0


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    flags = ('--warmup_requests=8', '--cold_places=2')
    options = BenchOptions(fleet=fleet, node_count=4, engine_flags=flags)
    with Deployment(options) as running:
        yield running


def _complete(deployment: Deployment, number: int) -> bool:
    prompt = list(range(number, number + 300))
    status, body = http_call(
        deployment.balancer_port,
        'POST',
        '/v1/completions',
        json.dumps({'prompt': prompt, 'max_tokens': 12}).encode(),
        KEY,
        timeout_s=40.0,
    )
    if status != 200:
        return False
    text: str = json.loads(body)['choices'][0]['text']
    assert text == expected_answer(prompt, 12)
    return True


def _dead(deployment: Deployment) -> list[str]:
    return [
        one.upstream_id
        for one in deployment.settings.upstreams.values()
        if not deployment.processes[one.upstream_id].is_running
    ]


def _decode_places(deployment: Deployment) -> list[int]:
    for node in deployment.nodes:
        _, status = deployment.operator_call(node, 'GET', '/status')
        for cell in status['cells'].values():
            return [
                cell['engines'][one.upstream_id]['places']
                for one in deployment.settings.upstreams.values()
                if deployment.settings.pools[one.pool_id].role
                is PoolRole.DECODE
            ]
    return []


def _load_until_warm(deployment: Deployment) -> bool:
    with ThreadPoolExecutor(CALLERS) as callers:
        numbers = iter(range(10**6))

        def is_warm() -> bool:
            batch = [next(numbers) for _ in range(CALLERS)]
            list(callers.map(lambda one: _complete(deployment, one), batch))
            places = _decode_places(deployment)
            return bool(places) and min(places) == 20

        return wait_until(is_warm, limit_s=WARM_LIMIT_S)


def test_fresh_engines_survive_full_load(deployment: Deployment) -> None:
    assert _load_until_warm(deployment)
    assert not _dead(deployment)


def test_restarted_engine_survives_full_load(deployment: Deployment) -> None:
    name = 'pattern-decode-1'
    upstream = next(
        one
        for one in deployment.settings.upstreams.values()
        if one.upstream_id == name
    )
    deployment.processes[name].kill()
    deployment.start_upstream(upstream)
    assert _load_until_warm(deployment)
    assert not _dead(deployment)
