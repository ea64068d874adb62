"""Deployment tests of failing engines, requests and nodes.

Answers stay complete, and engines free the memory of requests that ended.
"""

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
from catkinreach_standins.bench.ports import is_listening
from catkinreach_standins.bench.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinreach_core.settings.fleet import Upstream

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
KEY = {'authorization': 'Bearer demo-key-sunday-bee'}
POISON_TOKEN = -666
LIMIT_S = 15.0
FREED_LIMIT_S = 8.0


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    options = BenchOptions(fleet=fleet, engine_flags=('--leak_exports',))
    with Deployment(options) as running:
        yield running


class Caller(threading.Thread):
    """Sends a completion in the background."""

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
        """Returns the text of the completion."""
        text: str = self.document['choices'][0]['text']
        return text

    def run(self) -> None:
        """Sends the request and stores the response."""
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


def _start_call(
    deployment: Deployment, prompt: list[int], count: int
) -> Caller:
    caller = Caller(deployment.balancer_port, prompt, count)
    caller.start()
    return caller


def _join(caller: Caller) -> Caller:
    caller.join(40.0)
    assert not caller.is_alive()
    return caller


def _engines(deployment: Deployment, role: PoolRole) -> list[Upstream]:
    pools = deployment.settings.pools
    return [
        upstream
        for upstream in deployment.settings.upstreams.values()
        if pools[upstream.pool_id].role is role
    ]


def _holdings(upstream: Upstream) -> list[dict[str, Any]]:
    _, body = http_call(upstream.port, 'GET', '/v1/holdings')
    held: list[dict[str, Any]] = json.loads(body)['holdings']
    return held


def _are_all_holdings_freed(deployment: Deployment) -> bool:
    return not any(
        _holdings(upstream)
        for role in (PoolRole.PREFILL, PoolRole.DECODE)
        for upstream in _engines(deployment, role)
    )


def _find_decoding_engine(deployment: Deployment) -> Upstream | None:
    for upstream in _engines(deployment, PoolRole.DECODE):
        if any(held['kind'] == 'decode' for held in _holdings(upstream)):
            return upstream
    return None


def _wait_for_decoding_engine(deployment: Deployment) -> Upstream:
    assert wait_until(
        lambda: _find_decoding_engine(deployment), timeout_s=LIMIT_S
    )
    running = _find_decoding_engine(deployment)
    assert running is not None
    return running


def _restart_dead_engines(deployment: Deployment) -> int:
    """Restarts engines whose process has ended; returns how many."""
    dead = [
        upstream
        for role in (PoolRole.PREFILL, PoolRole.DECODE)
        for upstream in _engines(deployment, role)
        if not deployment.processes[upstream.upstream_id].is_running
    ]
    for upstream in dead:
        deployment.start_upstream(upstream)
    return len(dead)


def _wait_until_engines_listen(deployment: Deployment) -> int:
    """Restarts engines that crashed last; returns how many."""
    crashes = 0

    def do_listen() -> bool:
        nonlocal crashes
        crashes += _restart_dead_engines(deployment)
        engines = [
            *_engines(deployment, PoolRole.PREFILL),
            *_engines(deployment, PoolRole.DECODE),
        ]
        return all(is_listening(engine.port) for engine in engines)

    assert wait_until(do_listen, timeout_s=LIMIT_S)
    return crashes


def test_answer_is_completed_after_a_decode_engine_crash(
    deployment: Deployment,
) -> None:
    prompt = list(range(600))
    caller = _start_call(deployment, prompt, 150)
    engine = _wait_for_decoding_engine(deployment)
    deployment.processes[engine.upstream_id].kill()
    _join(caller)
    _restart_dead_engines(deployment)
    assert caller.status == 200
    assert caller.text == expected_answer(prompt, 150)


def test_answer_is_completed_when_a_transfer_stalls(
    deployment: Deployment,
) -> None:
    prompt = list(range(50, 900))
    engines = _engines(deployment, PoolRole.DECODE)
    for upstream in engines[1:]:
        deployment.standin_call(
            upstream.port, 'POST', '/standin/faults', {'stall_imports_s': 20.0}
        )
    caller = _join(_start_call(deployment, prompt, 20))
    for upstream in engines[1:]:
        deployment.standin_call(
            upstream.port, 'POST', '/standin/faults', {'stall_imports_s': 0.0}
        )
    assert caller.status == 200
    assert caller.text == expected_answer(prompt, 20)


def test_leaked_exports_are_freed(deployment: Deployment) -> None:
    caller = _join(_start_call(deployment, list(range(3000)), 10))
    assert caller.status == 200
    assert wait_until(
        lambda: _are_all_holdings_freed(deployment), timeout_s=FREED_LIMIT_S
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
    assert not _are_all_holdings_freed(deployment)
    connection.close()
    assert wait_until(
        lambda: _are_all_holdings_freed(deployment), timeout_s=FREED_LIMIT_S
    )


def test_memory_of_a_killed_node_is_freed(deployment: Deployment) -> None:
    node = deployment.nodes[1]
    caller = Caller(node.caller_port, list(range(700)), 800)
    caller.start()
    _wait_for_decoding_engine(deployment)
    deployment.processes[node.vm_id].kill()
    freed = wait_until(
        lambda: _are_all_holdings_freed(deployment), timeout_s=FREED_LIMIT_S
    )
    deployment.start_node(node)
    deployment.wait_ready(node)
    assert freed


def test_crashing_prompt_crashes_at_most_two_engines(
    deployment: Deployment,
) -> None:
    crashing_prompt = [*range(40), POISON_TOKEN]
    crashes = 0
    code = ''
    for _ in range(6):
        caller = _start_call(deployment, crashing_prompt, 5)
        harmless = _start_call(deployment, list(range(200, 500)), 30)
        while caller.is_alive():
            crashes += _restart_dead_engines(deployment)
            caller.join(0.1)
        _join(harmless)
        code = caller.document.get('code', '')
        assert harmless.status == 200
        assert harmless.text == expected_answer(range(200, 500), 30)
    crashes += _wait_until_engines_listen(deployment)
    assert code == 'request-quarantined'
    assert 1 <= crashes <= 2


def test_prompts_with_a_crashing_block_crash_engines_without_end(
    deployment: Deployment,
) -> None:
    # Crashes were counted by the digest of the whole prompt only.
    crashing_block = [*range(5000, 5255), POISON_TOKEN]
    crashes = 0
    codes = []
    for number in range(6):
        caller = _start_call(deployment, [*crashing_block, number], 5)
        while caller.is_alive():
            crashes += _restart_dead_engines(deployment)
            caller.join(0.1)
        codes.append(caller.document.get('code', ''))
    crashes += _wait_until_engines_listen(deployment)
    assert codes[1:] == ['request-quarantined'] * 5
    assert 1 <= crashes <= 3


def test_failure_domain_out_of_service_gets_no_requests(
    deployment: Deployment,
) -> None:
    disabled_engine = _engines(deployment, PoolRole.PREFILL)[0]
    section = (
        f'[failure-domain {disabled_engine.domain_id}]\nstate = in-service'
    )
    assert section in deployment.fleet_text
    deployment.publish_config(
        deployment.fleet_text.replace(
            section, section.replace('in-service', 'out-of-service')
        )
    )
    assert wait_until(
        lambda: not _is_in_service(deployment, disabled_engine),
        timeout_s=LIMIT_S,
    )
    before = _prefill_count(disabled_engine)
    for number in range(6):
        prompt = list(range(number, 300 + number))
        caller = _join(_start_call(deployment, prompt, 5))
        assert caller.text == expected_answer(prompt, 5)
    assert _prefill_count(disabled_engine) == before
    deployment.publish_config(deployment.fleet_text)
    assert wait_until(
        lambda: _is_in_service(deployment, disabled_engine), timeout_s=LIMIT_S
    )


def test_unavailable_dependency_is_named_in_refusals(
    deployment: Deployment,
) -> None:
    plain_upstreams = _engines(deployment, PoolRole.PLAIN)
    for upstream in plain_upstreams:
        deployment.processes[upstream.upstream_id].kill()

    def is_named() -> bool:
        caller = _join(_start_call(deployment, list(range(100)), 5))
        return caller.document.get('code') == 'dependency-out' and (
            'bee-app' in caller.document['detail']
        )

    named = wait_until(is_named, timeout_s=LIMIT_S)
    for upstream in plain_upstreams:
        deployment.start_upstream(upstream)
    assert named
    assert wait_until(
        lambda: _join(_start_call(deployment, [1, 2, 3], 5)).status == 200,
        timeout_s=LIMIT_S,
    )


def _prefill_count(upstream: Upstream) -> int:
    _, body = http_call(upstream.port, 'GET', '/standin/record')
    count: int = json.loads(body)['prefills']
    return count


def _cells(deployment: Deployment) -> list[dict[str, Any]]:
    found = []
    for node in deployment.nodes:
        _, status = deployment.operator_call(node, 'GET', '/status')
        found += status['cells'].values()
    return found


def _is_in_service(deployment: Deployment, upstream: Upstream) -> bool:
    return any(
        cell['engines'][upstream.upstream_id]['in_service']
        for cell in _cells(deployment)
    )
