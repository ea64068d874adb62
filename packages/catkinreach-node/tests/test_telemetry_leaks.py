"""Logs, metrics and traces contain no key, prompt or answer."""

from __future__ import annotations

import json
from pathlib import Path

from catkinreach_standins.bench.deployment import (
    BenchOptions,
    Deployment,
    http_call,
)

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'
KEY = 'demo-key-sunday-bee'
PROMPT = 'marzipan-planted-prompt word'
CLIENT_TRACE = '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01'
TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736'
HOPS = {'accept', 'limit', 'queue', 'prefill', 'transfer', 'decode'}


def _span_names(lines: list[str]) -> dict[str, set[str]]:
    names: dict[str, set[str]] = {}
    for line in lines:
        for resource in json.loads(line)['resourceSpans']:
            for scope in resource['scopeSpans']:
                for span in scope['spans']:
                    names.setdefault(span['traceId'], set()).add(span['name'])
    return names


def test_telemetry_has_hops_and_no_secrets(tmp_path: Path) -> None:
    spans = tmp_path / 'spans.jsonl'
    options = BenchOptions(
        fleet=(EXAMPLES / 'ninepatch' / 'fleet.ini').read_text(),
        node_count=1,
        node_sections={
            'traces': {'file': str(spans)},
            'logs': {'level': 'debug'},
        },
    )
    with Deployment(options) as deployment:
        status, body = http_call(
            deployment.balancer_port,
            'POST',
            '/v1/chat/completions',
            json.dumps(
                {
                    'model': 'pattern-llm',
                    'messages': [{'role': 'user', 'content': PROMPT}],
                    'max_tokens': 4,
                }
            ).encode(),
            {'authorization': f'Bearer {KEY}', 'traceparent': CLIENT_TRACE},
        )
        content = json.loads(body)['choices'][0]['message']['content']
        _, metrics = http_call(
            deployment.nodes[0].operator_port,
            'GET',
            '/metrics',
            headers={'authorization': 'Bearer demo-operator-key'},
        )
        node = deployment.processes['vm-1']
        node.terminate()
        assert node.wait(10) == 0
        span_text = spans.read_text()
        telemetry = span_text + metrics.decode() + deployment.log_of('vm-1')
    assert status == 200
    assert _span_names(span_text.splitlines())[TRACE_ID] >= HOPS
    assert 'catkinreach_hop_seconds{hop="decode",quantile="0.95"}' in telemetry
    for secret in (KEY, 'marzipan', content, content.split()[0]):
        assert secret not in telemetry
