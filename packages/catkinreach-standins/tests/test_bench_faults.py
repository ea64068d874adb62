"""Tests the fault injector on a deployment of real processes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.answer import expected_answer
from catkinreach_standins.bench.deployment import (
    BenchOptions,
    Deployment,
    http_call,
)
from catkinreach_standins.bench.faults import FaultInjector
from catkinreach_standins.bench.fleet_text_edits import (
    add_section,
    remove_section,
    set_option,
)
from catkinreach_standins.bench.links import platform_link, upstream_link
from catkinreach_standins.bench.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'
PROMPT = list(range(300))
REVISION_TIMEOUT_S = 10.0


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    options = BenchOptions(
        fleet=fleet, node_count=2, has_proxy=True, has_capture=True
    )
    with Deployment(options) as running:
        yield running


def _send_completion(deployment: Deployment) -> str:
    _, body = http_call(
        deployment.balancer_port,
        'POST',
        '/v1/completions',
        json.dumps({'prompt': PROMPT, 'max_tokens': 3}).encode(),
        {'authorization': 'Bearer demo-key-sunday-bee'},
    )
    text: str = json.loads(body)['choices'][0]['text']
    return text


def test_traffic_passes_through_the_fault_proxy(deployment: Deployment) -> None:
    assert deployment.links is not None
    assert _send_completion(deployment) == expected_answer(PROMPT, 3)
    record = deployment.links.record()
    assert record[upstream_link('pattern-prefill-1')]['bytes_up']
    assert record[platform_link('vm-1')]['bytes_down']
    assert deployment.capture_path('pattern-prefill-1').stat().st_size


def test_node_cut_from_platform_and_peer_misses_a_revision(
    deployment: Deployment,
) -> None:
    injector = FaultInjector(deployment)
    injector.cut('vm-1', 'platform')
    injector.cut('vm-1', 'vm-2')
    deployment.publish_config(deployment.fleet_text)
    assert wait_until(
        lambda: _applied_revision(deployment, 1) == 2,
        timeout_s=REVISION_TIMEOUT_S,
    )
    assert _applied_revision(deployment, 0) == 1
    injector.heal()
    assert wait_until(
        lambda: _applied_revision(deployment, 0) == 2,
        timeout_s=REVISION_TIMEOUT_S,
    )


def test_fleet_serves_after_a_vm_is_replaced(deployment: Deployment) -> None:
    new_vm_id = FaultInjector(deployment).replace_vm('vm-2')
    assert [entry['id'] for entry in deployment.vm_entries()] == [
        'vm-1',
        new_vm_id,
    ]
    assert _send_completion(deployment) == expected_answer(PROMPT, 3)


def _applied_revision(deployment: Deployment, node: int) -> int:
    _, status = deployment.operator_call(
        deployment.nodes[node], 'GET', '/status'
    )
    revision: int = status['config_revision']
    return revision


def test_edits_of_the_fleet_text() -> None:
    text = '[a x]\none = 1\n[b y]\ntwo = 2\n'
    assert set_option(text, 'a x', 'one', '5').startswith('[a x]\none = 5\n')
    assert 'three = 3' in set_option(text, 'b y', 'three', '3')
    assert remove_section(text, 'a x') == '[b y]\ntwo = 2\n'
    assert add_section(text, 'c z', {'k': 'v'}).endswith('[c z]\nk = v\n')
