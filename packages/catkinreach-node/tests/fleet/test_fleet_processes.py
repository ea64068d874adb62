"""Tests ownership, API keys and configuration with five node processes."""

from __future__ import annotations

import http.client
import time
from itertools import pairwise
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

from catkinreach_core.keys import key_digest
from catkinreach_core.ownership.checker import check_events, owned_periods
from catkinreach_core.ownership.events import LeaseEventKind
from catkinreach_standins.bench.deployment import BenchOptions, Deployment
from catkinreach_standins.bench.faults import FaultInjector
from catkinreach_standins.bench.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from catkinreach_standins.bench.plan import NodePlan

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
FLEET = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
PLANNED_NODES = 7
RUNNING_NODES = 5
SHARD_COUNT = 64 * 2 + 1
LIMIT_S = 20.0
GAP_LIMIT_S = 5.0
RELEASE_GAP_LIMIT_S = 2.0
KEY_LIMIT_S = 3.0
CONFIG_LIMIT_S = 5.0
WEIGHT_LINE = 'weight = 2'


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    options = BenchOptions(
        fleet=FLEET,
        node_count=PLANNED_NODES,
        has_balancer=False,
        has_proxy=True,
    )
    deployment = Deployment(options)
    spares = deployment.nodes[RUNNING_NODES:]
    del deployment.nodes[RUNNING_NODES:]
    with deployment:
        deployment.nodes.extend(spares)
        _wait_owned(deployment, deployment.nodes[:RUNNING_NODES])
        yield deployment
        assert check_events(deployment.lease_events()) == ()


def _status(deployment: Deployment, node: NodePlan) -> dict[str, Any]:
    _, document = deployment.operator_call(node, 'GET', '/status')
    assert isinstance(document, dict)
    return document


def _running(deployment: Deployment) -> list[NodePlan]:
    return [
        node
        for node in deployment.nodes
        if node.vm_id in deployment.processes
        and deployment.processes[node.vm_id].is_running
    ]


def _wait_until(
    condition: Callable[[], bool], *, limit_s: float = LIMIT_S
) -> None:
    assert wait_until(condition, timeout_s=limit_s)


def _wait_owned(deployment: Deployment, nodes: list[NodePlan]) -> None:
    def is_owned() -> bool:
        owned = [
            shard
            for node in nodes
            for shard in _status(deployment, node)['ownership']['owned']
        ]
        return len(owned) == len(set(owned)) == SHARD_COUNT

    _wait_until(is_owned)


def _node_with_most_shards(deployment: Deployment) -> NodePlan:
    return max(
        _running(deployment),
        key=lambda node: len(_status(deployment, node)['ownership']['owned']),
    )


def test_shards_have_owners_after_a_kill_and_restart(
    deployment: Deployment,
) -> None:
    victim = _node_with_most_shards(deployment)
    owned = set(_status(deployment, victim)['ownership']['owned'])
    others = [peer for peer in _running(deployment) if peer != victim]
    killed_at_s = time.monotonic()
    deployment.processes[victim.vm_id].kill()
    _wait_owned(deployment, others)
    gaps_s = [
        event.at_s - killed_at_s
        for event in deployment.lease_events()
        if event.kind is LeaseEventKind.ACQUIRED
        and event.shard in owned
        and event.at_s > killed_at_s
    ]
    assert len(gaps_s) >= len(owned)
    assert max(gaps_s) < GAP_LIMIT_S
    deployment.start_node(victim)
    deployment.wait_ready(victim)
    _wait_until(lambda: _status(deployment, victim)['ownership']['voting'])
    for node in others:
        members = _status(deployment, node)['membership']['members']
        assert members[victim.vm_id] == 'alive'


@pytest.mark.parametrize(
    'pause_s', [5.0, pytest.param(30.0, marks=pytest.mark.long)]
)
def test_frozen_owner_is_replaced_and_rejoins(
    deployment: Deployment, pause_s: float
) -> None:
    victim = _node_with_most_shards(deployment)
    others = [peer for peer in _running(deployment) if peer != victim]
    deployment.processes[victim.vm_id].freeze()
    try:
        time.sleep(pause_s)
        _wait_owned(deployment, others)
    finally:
        deployment.processes[victim.vm_id].resume()
    _wait_owned(deployment, _running(deployment))
    _wait_until(
        lambda: all(
            _status(deployment, node)['membership']['members'][victim.vm_id]
            == 'alive'
            for node in others
        )
    )
    assert check_events(deployment.lease_events()) == ()


def test_owners_leave_gracefully_one_by_one(deployment: Deployment) -> None:
    """Replaces two VMs; successors acquire shards before the leases expire."""
    for replacement in deployment.nodes[RUNNING_NODES:]:
        leaving = _running(deployment)[0]
        owned = _status(deployment, leaving)['ownership']['owned']
        since_s = time.monotonic()
        _replace(deployment, leaving, replacement)
        if owned:
            gap_s = _gap_s(deployment, leaving, since_s)
            assert gap_s < RELEASE_GAP_LIMIT_S


def _replace(
    deployment: Deployment, leaving: NodePlan, replacement: NodePlan
) -> None:
    entries = deployment.vm_entries()
    deployment.start_node(replacement)
    kept = {item.vm_id for item in _running(deployment)}
    deployment.publish_vms([item for item in entries if item['id'] in kept])
    deployment.wait_ready(replacement)
    _wait_until(lambda: _status(deployment, replacement)['ownership']['voting'])
    deployment.processes[leaving.vm_id].terminate()
    deployment.processes[leaving.vm_id].wait(LIMIT_S)
    kept.remove(leaving.vm_id)
    deployment.publish_vms([item for item in entries if item['id'] in kept])
    _wait_owned(deployment, _running(deployment))


def _gap_s(deployment: Deployment, leaving: NodePlan, since_s: float) -> float:
    """Returns the longest gap between a tenure of the node and the next."""
    periods = owned_periods(deployment.lease_events())
    return max(
        second.from_s - first.until_s
        for first, second in pairwise(periods)
        if first.shard == second.shard
        and first.until_s > since_s
        and first.vm_id == leaving.vm_id
        and second.vm_id != leaving.vm_id
    )


def _with_key(text: str, key: str) -> str:
    line = 'key_digests = '
    return text.replace(line, f'{line}sha256:{key_digest(key)}, ', 1)


def _read_status(connection: http.client.HTTPConnection, key: str) -> int:
    connection.request(
        'GET',
        '/bee/status',
        headers={'authorization': f'Bearer {key}'},
    )
    response = connection.getresponse()
    response.read()
    return response.status


def _publish_key_change(deployment: Deployment, key: str) -> None:
    """Publishes and withdraws a key; checks that every node applies both."""
    nodes = _running(deployment)
    connections = [
        http.client.HTTPConnection('127.0.0.1', node.caller_port, timeout=9)
        for node in nodes
    ]
    try:
        assert {_read_status(client, key) for client in connections} == {401}
        deployment.publish_config(_with_key(deployment.fleet_text, key))
        _wait_until(
            lambda: all(
                _read_status(client, key) != 401 for client in connections
            ),
            limit_s=KEY_LIMIT_S,
        )
        deployment.publish_config(deployment.fleet_text)
        _wait_until(
            lambda: all(
                _read_status(client, key) == 401 for client in connections
            ),
            limit_s=KEY_LIMIT_S,
        )
    finally:
        for connection in connections:
            connection.close()


def test_key_changes_apply_on_persistent_connections(
    deployment: Deployment,
) -> None:
    _publish_key_change(deployment, 'key-for-all')


def test_key_changes_apply_if_only_one_node_reaches_the_service(
    deployment: Deployment,
) -> None:
    injector = FaultInjector(deployment)
    nodes = _running(deployment)
    try:
        for node in nodes[1:]:
            injector.cut(node.vm_id, 'platform')
        _wait_until(
            lambda: all(
                not _status(deployment, node)['configuration']['reader']
                or _status(deployment, node)['configuration']['confirmed_age_s']
                < KEY_LIMIT_S
                for node in nodes
            )
        )
        time.sleep(CONFIG_LIMIT_S)
        _publish_key_change(deployment, 'key-by-relay')
    finally:
        injector.heal()


def test_invalid_text_is_never_in_force(deployment: Deployment) -> None:
    nodes = _running(deployment)
    before = {
        _status(deployment, node)['configuration']['in_force'] for node in nodes
    }
    assert len(before) == 1
    deployment.publish_config('[pool a]\nrole = wrong\n')
    _wait_until(
        lambda: all(
            _status(deployment, node)['configuration']['refused']
            for node in nodes
        ),
        limit_s=CONFIG_LIMIT_S,
    )
    after = {
        _status(deployment, node)['configuration']['in_force'] for node in nodes
    }
    assert after == before
    deployment.publish_config(deployment.fleet_text)
    (revision,) = before
    _wait_until(lambda: _in_force(deployment) == {revision + 2})


def _in_force(deployment: Deployment) -> set[int]:
    return {
        _status(deployment, node)['configuration']['in_force']
        for node in _running(deployment)
    }


def test_last_of_two_rapid_publications_is_in_force(
    deployment: Deployment,
) -> None:
    (revision,) = _in_force(deployment)
    text = deployment.fleet_text
    deployment.publish_config(text.replace(WEIGHT_LINE, 'weight = 4', 1))
    deployment.publish_config(text)
    _wait_until(
        lambda: _in_force(deployment) == {revision + 2}, limit_s=CONFIG_LIMIT_S
    )


def test_stale_service_does_not_restore_an_old_revision(
    deployment: Deployment,
) -> None:
    (revision,) = _in_force(deployment)
    faults = '/standin/faults'
    port = deployment.config_port
    victim = _running(deployment)[0]
    try:
        deployment.standin_call(port, 'POST', faults, {'stale': True})
        deployment.processes[victim.vm_id].kill()
        deployment.start_node(victim)
        deployment.wait_ready(victim)
        assert _in_force(deployment) == {revision}
    finally:
        deployment.standin_call(port, 'POST', faults, {'stale': False})


def test_service_is_read_less_than_once_a_second(
    deployment: Deployment,
) -> None:
    _wait_owned(deployment, _running(deployment))
    time.sleep(CONFIG_LIMIT_S)
    port = deployment.config_port
    before = deployment.standin_call(port, 'GET', '/standin/record')
    start_s = time.monotonic()
    time.sleep(10.0)
    after = deployment.standin_call(port, 'GET', '/standin/record')
    duration_s = time.monotonic() - start_s
    assert after['reads'] - before['reads'] <= duration_s
