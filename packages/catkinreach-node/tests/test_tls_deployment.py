"""A deployment with TLS for callers and between nodes."""

from __future__ import annotations

import http.client
import json
import ssl
from pathlib import Path
from typing import TYPE_CHECKING

from catkinreach_standins.answer import expected_answer
from catkinreach_standins.bench.certificates import TestAuthority
from catkinreach_standins.bench.deployment import BenchOptions, Deployment
from catkinreach_standins.bench.ports import LOOPBACK

if TYPE_CHECKING:
    from catkinreach_standins.bench.plan import NodePlan

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'
VMS = ('vm-1', 'vm-2', 'vm-3')
PROMPT = list(range(300))


def _options(authority: TestAuthority) -> BenchOptions:
    edge = authority.issue(LOOPBACK, file_stem='edge')
    peers = authority.issue(*VMS, file_stem='peers')
    return BenchOptions(
        fleet=(EXAMPLES / 'ninepatch' / 'fleet.ini').read_text(),
        node_count=len(VMS),
        has_balancer=False,
        node_sections={
            'tls': {
                'caller_certificate': str(edge.certificate),
                'caller_key': str(edge.key),
                'peer_certificate': str(peers.certificate),
                'peer_key': str(peers.key),
                'peer_authority': str(authority.path),
            }
        },
    )


def _complete(node: NodePlan, authority_path: Path) -> tuple[int, str]:
    context = ssl.create_default_context(cafile=str(authority_path))
    context.check_hostname = False
    connection = http.client.HTTPSConnection(
        LOOPBACK, node.caller_port, timeout=20, context=context
    )
    body = {'model': 'pattern-llm', 'prompt': PROMPT, 'max_tokens': 5}
    connection.request(
        'POST',
        '/v1/completions',
        json.dumps(body),
        {'authorization': 'Bearer demo-key-sunday-bee'},
    )
    response = connection.getresponse()
    document = json.loads(response.read())
    connection.close()
    if response.status != http.HTTPStatus.OK:
        return response.status, str(document)
    return response.status, document['choices'][0]['text']


def test_nodes_serve_and_exchange_messages_over_tls(tmp_path: Path) -> None:
    authority = TestAuthority(tmp_path)
    options = _options(authority)
    with Deployment(options) as deployment:
        answers = [_complete(node, authority.path) for node in deployment.nodes]
        peer_frames = [
            deployment.operator_call(node, 'GET', '/status')[1][
                'peer_frames_sent'
            ]
            for node in deployment.nodes
        ]
    assert answers == [(200, expected_answer(PROMPT, 5))] * len(VMS)
    assert all(peer_frames)
