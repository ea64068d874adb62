"""Orders run at most once although an upstream, owner or VM fails."""

from __future__ import annotations

import itertools
import json
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

from catkinreach_core.ids import WorkspaceId
from catkinreach_core.ownership.shards import order_shard
from catkinreach_ctl.load.idempotency import uuid7
from catkinreach_standins.bench.deployment import (
    BenchOptions,
    Deployment,
    http_call,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinreach_standins.bench.plan import NodePlan

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
WORKSPACE = 'sunday-bee'
CALLER = {'authorization': f'Bearer demo-key-{WORKSPACE}'}
RUN_TIME_S = 1.5
SETTLING_S = 3.0
NO_ANSWER = (0, {'outcome': 'unknown', 'code': 'connection lost'})

_salts = itertools.count(1)


def _new_key() -> str:
    return uuid7(int(time.time() * 1000), next(_salts))


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    with Deployment(BenchOptions(fleet=fleet, has_balancer=False)) as running:
        time.sleep(SETTLING_S)
        yield running


def _send_order(
    node: NodePlan, key: str | None, body: bytes = b'{}'
) -> tuple[int, Any]:
    headers = dict(CALLER)
    if key is not None:
        headers['idempotency-key'] = key
    try:
        status, answer = http_call(
            node.caller_port,
            'POST',
            '/bee/claims',
            body,
            headers,
            timeout_s=70,
        )
    except OSError:
        return NO_ANSWER
    return status, json.loads(answer)


def _service_ports(deployment: Deployment) -> list[int]:
    return [
        upstream.port
        for upstream in deployment.settings.upstreams.values()
        if upstream.pool_id == 'bee-app'
    ]


def _executions(deployment: Deployment, key: str) -> int:
    records = [
        deployment.standin_call(port, 'GET', '/standin/record')
        for port in _service_ports(deployment)
    ]
    return sum(
        execution['count']
        for record in records
        for execution in record['executions']
        if execution['key'] == key
    )


def _set_faults(deployment: Deployment, **faults: float) -> None:
    for port in _service_ports(deployment):
        deployment.standin_call(port, 'POST', '/standin/faults', faults)


def _owner(deployment: Deployment, key: str) -> NodePlan:
    shard = order_shard(WorkspaceId(WORKSPACE), key)
    for node in deployment.nodes:
        if not deployment.processes[node.vm_id].is_running:
            continue
        _, status = deployment.operator_call(node, 'GET', '/status')
        if shard in status['ownership']['owned']:
            return node
    raise AssertionError(f'{shard} has no owner')


def test_order_needs_a_key(deployment: Deployment) -> None:
    status, problem = _send_order(deployment.nodes[0], None)
    assert (status, problem['code']) == (400, 'idempotency-key-missing')


def test_resends_on_all_nodes_at_once_run_once(deployment: Deployment) -> None:
    key = _new_key()
    with ThreadPoolExecutor() as pool:
        answers = list(
            pool.map(lambda node: _send_order(node, key), deployment.nodes * 2)
        )
    assert {status for status, _ in answers} == {200}
    assert all(answer == answers[0][1] for _, answer in answers)
    assert _executions(deployment, key) == 1


def test_reused_key_is_refused(deployment: Deployment) -> None:
    key = _new_key()
    _send_order(deployment.nodes[0], key)
    status, problem = _send_order(deployment.nodes[1], key, b'[1]')
    assert (status, problem['code']) == (422, 'idempotency-key-reused')
    assert _executions(deployment, key) == 1


def test_order_is_not_resent_after_a_service_crash(
    deployment: Deployment,
) -> None:
    key = _new_key()
    _set_faults(deployment, die_before_answer=1)
    answers = [_send_order(node, key) for node in deployment.nodes]
    _set_faults(deployment, die_before_answer=0)
    assert {answer['outcome'] for _, answer in answers} == {'unknown'}
    assert _executions(deployment, key) == 1


def test_owner_paused_past_its_lease_does_not_run_an_order_twice(
    deployment: Deployment,
) -> None:
    key = _new_key()
    owner = _owner(deployment, key)
    entry = next(node for node in deployment.nodes if node is not owner)
    _set_faults(deployment, delay_s=RUN_TIME_S)
    with ThreadPoolExecutor() as pool:
        first = pool.submit(_send_order, entry, key)
        time.sleep(RUN_TIME_S / 2)
        deployment.processes[owner.vm_id].freeze()
        time.sleep(6)
        deployment.processes[owner.vm_id].resume()
        answers = [first.result(), _send_order(owner, key)]
    _set_faults(deployment, delay_s=0)
    assert _executions(deployment, key) == 1
    assert all(answer.get('outcome') != 'not-run' for _, answer in answers)


def test_killed_owner_leaves_an_unknown_outcome(
    deployment: Deployment,
) -> None:
    key = _new_key()
    owner = _owner(deployment, key)
    entry = next(node for node in deployment.nodes if node is not owner)
    _set_faults(deployment, delay_s=RUN_TIME_S)
    with ThreadPoolExecutor() as pool:
        first = pool.submit(_send_order, entry, key)
        time.sleep(RUN_TIME_S / 2)
        deployment.processes[owner.vm_id].kill()
        answers = [first.result(), _send_order(entry, key)]
    _set_faults(deployment, delay_s=0)
    assert {answer['outcome'] for _, answer in answers} == {'unknown'}
    assert _executions(deployment, key) == 1
    time.sleep(SETTLING_S)
    fresh = _new_key()
    assert _send_order(entry, fresh)[0] == 200
    assert _executions(deployment, fresh) == 1
