"""Engines, requests and nodes fail; answers stay whole, memory is freed."""

from __future__ import annotations

import json
import threading
from http.client import HTTPConnection
from pathlib import Path
from typing import TYPE_CHECKING, Any

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

    from catkinreach_core.settings.fleet import Upstream

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
KEY = {'authorization': 'Bearer demo-key-sunday-bee'}
POISON = -666
LIMIT_S = 15.0
FREED_LIMIT_S = 8.0


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    options = BenchOptions(fleet=fleet, engine_flags=('--leak_exports',))
    with Deployment(options) as running:
        yield running


class Caller(threading.Thread):
    """Sends one completion in the background."""

    def __init__(self, port: int, prompt: list[int], max_tokens: int) -> None:
        """Prepares the call; ``start`` sends it."""
        super().__init__(daemon=True)
        self._port = port
        self._prompt = prompt
        self._max_tokens = max_tokens
        self.status = 0
        self.document: dict[str, Any] = {}

    @property
    def text(self) -> str:
        """Returns the whole answer."""
        text: str = self.document['choices'][0]['text']
        return text

    def run(self) -> None:
        """Sends the request and keeps the answer."""
        body = {'prompt': self._prompt, 'max_tokens': self._max_tokens}
        try:
            self.status, answer = http_call(
                self._port,
                'POST',
                '/v1/completions',
                json.dumps(body).encode(),
                KEY,
                timeout_s=40.0,
            )
        except OSError:
            return
        self.document = json.loads(answer)


def _call(deployment: Deployment, prompt: list[int], count: int) -> Caller:
    caller = Caller(deployment.balancer_port, prompt, count)
    caller.start()
    return caller


def _finish(caller: Caller) -> Caller:
    caller.join(40.0)
    assert not caller.is_alive()
    return caller


def _engines(deployment: Deployment, role: PoolRole) -> list[Upstream]:
    pools = deployment.settings.pools
    return [
        one
        for one in deployment.settings.upstreams.values()
        if pools[one.pool_id].role is role
    ]


def _holdings(upstream: Upstream) -> list[dict[str, Any]]:
    _, body = http_call(upstream.port, 'GET', '/v1/holdings')
    held: list[dict[str, Any]] = json.loads(body)['holdings']
    return held


def _is_nothing_held(deployment: Deployment) -> bool:
    return not any(
        _holdings(one)
        for role in (PoolRole.PREFILL, PoolRole.DECODE)
        for one in _engines(deployment, role)
    )


def _decoding(deployment: Deployment) -> Upstream | None:
    for one in _engines(deployment, PoolRole.DECODE):
        if any(held['kind'] == 'decode' for held in _holdings(one)):
            return one
    return None


def _wait_decoding(deployment: Deployment) -> Upstream:
    assert wait_until(lambda: _decoding(deployment), limit_s=LIMIT_S)
    running = _decoding(deployment)
    assert running is not None
    return running


def _restart_dead(deployment: Deployment) -> int:
    """Starts engines that have ended and returns how many had."""
    dead = [
        one
        for role in (PoolRole.PREFILL, PoolRole.DECODE)
        for one in _engines(deployment, role)
        if not deployment.processes[one.upstream_id].is_running
    ]
    for one in dead:
        deployment.start_upstream(one)
    return len(dead)


def test_answer_outlives_its_decode_engine(deployment: Deployment) -> None:
    prompt = list(range(600))
    caller = _call(deployment, prompt, 150)
    engine = _wait_decoding(deployment)
    deployment.processes[engine.upstream_id].kill()
    _finish(caller)
    _restart_dead(deployment)
    assert caller.status == 200
    assert caller.text == expected_answer(prompt, 150)


def test_answer_outlives_a_stalled_transfer(deployment: Deployment) -> None:
    prompt = list(range(50, 900))
    engines = _engines(deployment, PoolRole.DECODE)
    for one in engines[1:]:
        deployment.standin_call(
            one.port, 'POST', '/standin/faults', {'stall_imports_s': 20.0}
        )
    caller = _finish(_call(deployment, prompt, 20))
    for one in engines[1:]:
        deployment.standin_call(
            one.port, 'POST', '/standin/faults', {'stall_imports_s': 0.0}
        )
    assert caller.status == 200
    assert caller.text == expected_answer(prompt, 20)


def test_leaked_memory_is_freed(deployment: Deployment) -> None:
    caller = _finish(_call(deployment, list(range(3000)), 10))
    assert caller.status == 200
    assert wait_until(
        lambda: _is_nothing_held(deployment), limit_s=FREED_LIMIT_S
    )


def test_memory_of_a_disconnected_caller_is_freed(
    deployment: Deployment,
) -> None:
    body = {'prompt': list(range(650)), 'max_tokens': 900, 'stream': True}
    connection = HTTPConnection('127.0.0.1', deployment.balancer_port)
    connection.request(
        'POST', '/v1/completions', json.dumps(body).encode(), KEY
    )
    assert connection.getresponse().read(200)
    assert not _is_nothing_held(deployment)
    connection.close()
    assert wait_until(
        lambda: _is_nothing_held(deployment), limit_s=FREED_LIMIT_S
    )


def test_memory_of_a_killed_node_is_freed(deployment: Deployment) -> None:
    node = deployment.nodes[1]
    caller = Caller(node.caller_port, list(range(700)), 800)
    caller.start()
    _wait_decoding(deployment)
    deployment.processes[node.vm_id].kill()
    freed = wait_until(
        lambda: _is_nothing_held(deployment), limit_s=FREED_LIMIT_S
    )
    deployment.start_node(node)
    deployment.wait_ready(node)
    assert freed


def test_poison_crashes_two_engines_at_most(deployment: Deployment) -> None:
    poison = [*range(40), POISON]
    crashes = 0
    code = ''
    for _ in range(6):
        caller = _call(deployment, poison, 5)
        innocent = _call(deployment, list(range(200, 500)), 30)
        while caller.is_alive():
            crashes += _restart_dead(deployment)
            caller.join(0.1)
        _finish(innocent)
        code = caller.document.get('code', '')
        assert innocent.status == 200
        assert innocent.text == expected_answer(range(200, 500), 30)
    assert code == 'request-quarantined'
    assert 1 <= crashes <= 2


def test_domain_out_of_service_gets_no_new_work(
    deployment: Deployment,
) -> None:
    out = _engines(deployment, PoolRole.PREFILL)[0]
    section = f'[failure-domain {out.domain_id}]\nstate = in-service'
    assert section in deployment.fleet_text
    deployment.publish_config(
        deployment.fleet_text.replace(
            section, section.replace('in-service', 'out-of-service')
        )
    )
    assert wait_until(lambda: not _takes_work(deployment, out), limit_s=LIMIT_S)
    before = _prefills(out)
    for number in range(6):
        prompt = list(range(number, 300 + number))
        caller = _finish(_call(deployment, prompt, 5))
        assert caller.text == expected_answer(prompt, 5)
    assert _prefills(out) == before
    deployment.publish_config(deployment.fleet_text)
    assert wait_until(lambda: _takes_work(deployment, out), limit_s=LIMIT_S)


def test_lost_dependency_is_named(deployment: Deployment) -> None:
    plain = _engines(deployment, PoolRole.PLAIN)
    for one in plain:
        deployment.processes[one.upstream_id].kill()

    def is_named() -> bool:
        caller = _finish(_call(deployment, list(range(100)), 5))
        return caller.document.get('code') == 'dependency-out' and (
            'bee-app' in caller.document['detail']
        )

    named = wait_until(is_named, limit_s=LIMIT_S)
    for one in plain:
        deployment.start_upstream(one)
    assert named
    assert wait_until(
        lambda: _finish(_call(deployment, [1, 2, 3], 5)).status == 200,
        limit_s=LIMIT_S,
    )


def _prefills(upstream: Upstream) -> int:
    _, body = http_call(upstream.port, 'GET', '/standin/record')
    count: int = json.loads(body)['prefills']
    return count


def _cells(deployment: Deployment) -> list[dict[str, Any]]:
    found = []
    for node in deployment.nodes:
        _, status = deployment.operator_call(node, 'GET', '/status')
        found += status['cells'].values()
    return found


def _takes_work(deployment: Deployment, upstream: Upstream) -> bool:
    return any(
        cell['engines'][upstream.upstream_id]['in_service']
        for cell in _cells(deployment)
    )
