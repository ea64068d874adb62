"""Deployment tests: cold engines are never loaded until they crash.

The engines crash if they run more than two requests at once before they have
completed eight.
"""

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


def _send_completion(deployment: Deployment, number: int) -> bool:
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


def _crashed_engines(deployment: Deployment) -> list[str]:
    return [
        upstream.upstream_id
        for upstream in deployment.settings.upstreams.values()
        if not deployment.processes[upstream.upstream_id].is_running
    ]


def _decode_places(deployment: Deployment) -> list[int]:
    for node in deployment.nodes:
        _, status = deployment.operator_call(node, 'GET', '/status')
        for cell in status['cells'].values():
            return [
                cell['engines'][upstream.upstream_id]['places']
                for upstream in deployment.settings.upstreams.values()
                if deployment.settings.pools[upstream.pool_id].role
                is PoolRole.DECODE
            ]
    return []


def _load_until_warm(deployment: Deployment) -> bool:
    with ThreadPoolExecutor(CALLERS) as callers:
        numbers = iter(range(10**6))

        def is_warm() -> bool:
            batch = [next(numbers) for _ in range(CALLERS)]
            list(
                callers.map(
                    lambda number: _send_completion(deployment, number), batch
                )
            )
            places = _decode_places(deployment)
            return bool(places) and min(places) == 20

        return wait_until(is_warm, timeout_s=WARM_LIMIT_S)


def test_cold_engines_do_not_crash_under_full_load(
    deployment: Deployment,
) -> None:
    assert _load_until_warm(deployment)
    assert not _crashed_engines(deployment)


def test_restarted_engine_does_not_crash_under_full_load(
    deployment: Deployment,
) -> None:
    name = 'pattern-decode-1'
    upstream = next(
        candidate
        for candidate in deployment.settings.upstreams.values()
        if candidate.upstream_id == name
    )
    deployment.processes[name].kill()
    deployment.start_upstream(upstream)
    assert _load_until_warm(deployment)
    assert not _crashed_engines(deployment)
