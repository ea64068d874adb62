"""End-to-end requests through balancer, node and engines as processes."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from catkinreach_ctl.load.idempotency import uuid7
from catkinreach_standins.answer import expected_answer
from catkinreach_standins.bench.deployment import (
    BenchOptions,
    Deployment,
    http_call,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'
KEY = {'authorization': 'Bearer demo-key-sunday-bee'}
PROMPT = list(range(700))


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    fleet = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    with Deployment(BenchOptions(fleet=fleet)) as running:
        yield running


def _complete(deployment: Deployment, **members: object) -> tuple[int, bytes]:
    body = {'model': 'pattern-llm', 'prompt': PROMPT, **members}
    return http_call(
        deployment.balancer_port,
        'POST',
        '/v1/completions',
        json.dumps(body).encode(),
        KEY,
    )


def test_answer_is_complete(deployment: Deployment) -> None:
    status, body = _complete(deployment, max_tokens=12)
    choice = json.loads(body)['choices'][0]
    assert status == 200
    assert choice['text'] == expected_answer(PROMPT, 12)


def test_streamed_answer_is_complete(deployment: Deployment) -> None:
    status, body = _complete(deployment, max_tokens=12, stream=True)
    events = [
        line.removeprefix('data: ')
        for line in body.decode().splitlines()
        if line.startswith('data: ')
    ]
    choices = [json.loads(event)['choices'][0] for event in events[:-1]]
    assert status == 200
    assert events[-1] == '[DONE]'
    assert ''.join(choice.get('text', '') for choice in choices) == (
        expected_answer(PROMPT, 12)
    )


def test_order_reaches_plain_service(deployment: Deployment) -> None:
    status, body = http_call(
        deployment.balancer_port,
        'POST',
        '/bee/claims',
        b'{}',
        {**KEY, 'idempotency-key': uuid7(int(time.time() * 1000), 1)},
    )
    answer = json.loads(body)
    assert status == 200
    assert answer['workspace'] == 'sunday-bee'
    assert answer['execution'] == 1


@pytest.mark.parametrize(
    ('headers', 'code'),
    [
        ({}, 'key-missing'),
        ({'authorization': 'Bearer wrong'}, 'key-refused'),
    ],
)
def test_caller_without_key_is_refused(
    deployment: Deployment, headers: dict[str, str], code: str
) -> None:
    status, body = http_call(
        deployment.balancer_port, 'POST', '/v1/completions', b'{}', headers
    )
    problem = json.loads(body)
    assert status == 401
    assert problem['code'] == code
    assert problem['outcome'] == 'not-run'
