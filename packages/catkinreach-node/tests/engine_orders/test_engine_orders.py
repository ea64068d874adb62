"""Engines get the version in the settings although an owner is paused.

The paused owner may still send an order of an old revision when it resumes.
Engines with fencing must refuse it; the others are corrected afterwards.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

from catkinreach_standins.bench.calls import http_call
from catkinreach_standins.bench.deployment import BenchOptions, Deployment
from catkinreach_standins.bench.fleet_text_edits import set_option
from catkinreach_standins.bench.processes import wait_until

if TYPE_CHECKING:
    from catkinreach_core.ids import UpstreamId

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
POOLS = ('pool pattern-prefill', 'pool pattern-decode')
TIMEOUT_S = 30.0
RECONCILE_TIMEOUT_S = 5.0
STALE = 409


def _with_version(text: str, version: str) -> str:
    for pool in POOLS:
        text = set_option(text, pool, 'version', version)
    return text


def _engine_ports(deployment: Deployment) -> dict[UpstreamId, int]:
    return {
        upstream.upstream_id: upstream.port
        for upstream in deployment.settings.upstreams.values()
        if upstream.pool_id != 'bee-app'
    }


def _version(port: int) -> str:
    _, body = http_call(port, 'GET', '/v1/state')
    versions: dict[str, str] = json.loads(body)['versions']
    return versions.get('pattern-llm', '')


def _all_run_version(deployment: Deployment, version: str) -> bool:
    ports = _engine_ports(deployment).values()
    return all(_version(port) == version for port in ports)


def _owner(deployment: Deployment) -> str:
    for node in deployment.nodes:
        if not deployment.processes[node.vm_id].is_running:
            continue
        _, status = deployment.operator_call(node, 'GET', '/status')
        if status['engine_orders']:
            return node.vm_id
    raise AssertionError('no running node has sent an order')


def _send_stale_order(port: int) -> int:
    """Sends an order that an owner resumed at revision 1 might send."""
    order = {
        'kind': 'set-version',
        'target': 'pattern-llm',
        'version': 'v0',
        'fence': 1,
    }
    return http_call(port, 'POST', '/v1/orders', json.dumps(order).encode())[0]


def test_engines_follow_the_settings_while_an_owner_is_paused() -> None:
    text = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    text = set_option(text, 'fleet', 'weight_loads_per_minute', '600')
    options = BenchOptions(fleet=_with_version(text, 'v1'), node_count=3)
    with Deployment(options) as deployment:
        assert wait_until(
            lambda: _all_run_version(deployment, 'v1'), timeout_s=TIMEOUT_S
        )
        paused_owner = _owner(deployment)
        deployment.processes[paused_owner].freeze()
        deployment.publish_config(_with_version(deployment.fleet_text, 'v2'))
        assert wait_until(
            lambda: _all_run_version(deployment, 'v2'), timeout_s=TIMEOUT_S
        )
        deployment.processes[paused_owner].resume()
        ports = _engine_ports(deployment)
        upstreams = deployment.settings.upstreams
        answers = {
            engine: _send_stale_order(port) for engine, port in ports.items()
        }
        assert wait_until(
            lambda: _all_run_version(deployment, 'v2'),
            timeout_s=RECONCILE_TIMEOUT_S,
        )
    for engine, status in answers.items():
        assert (status == STALE) == upstreams[engine].is_fencing
