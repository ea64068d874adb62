"""The status page needs the operator key, escapes texts, loads nothing."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_core.keys import key_digest
from catkinreach_node.config.state import FleetState
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_node.operator.api import OperatorApi
from catkinreach_node.operator.page import PAGE_HEADERS, render_page
from catkinreach_node.operator.page_action import PageAction

KEY = 'page-key'
HOSTILE = '<script>alert("x")</script>'
STATUS = {
    'vm': HOSTILE,
    'failure_domain': HOSTILE,
    'config_revision': 7,
    'configuration': {'refused': HOSTILE, 'confirmed_age_s': 0.4},
    'membership': {'members': {HOSTILE: HOSTILE}},
    'ownership': {'owned': [f'cell/{HOSTILE}', 'limit/3', 'limit/4']},
    'cells': {
        'cell/a': {
            'engines': {
                HOSTILE: {'health': HOSTILE, 'in_service': True, 'places': 2}
            }
        }
    },
}
QUEUES = {
    HOSTILE: {
        'workspaces': {
            HOSTILE: {'waiting': 3, 'tokens': 4000, 'oldest_age_s': 1.25}
        }
    }
}


def _api() -> OperatorApi:
    api = OperatorApi(f'sha256:{key_digest(KEY)}')
    api.add_action(
        'GET', '/status', lambda _: HttpResponse.from_json(200, STATUS)
    )
    api.add_action(
        'GET', '/queue', lambda _: HttpResponse.from_json(200, QUEUES)
    )
    PageAction(api, FleetState()).add_to(api)
    return api


def _get(headers: list[tuple[str, str]]) -> HttpResponse:
    request = HttpRequest(method='GET', target='/page', headers=headers)
    return asyncio.run(_api().serve(request))


def test_page_needs_the_operator_key() -> None:
    assert _get([]).status == 401
    assert _get([('authorization', 'Bearer wrong')]).status == 401
    assert _get([('authorization', f'Bearer {KEY}')]).status == 200


def test_every_text_is_escaped() -> None:
    page = _get([('authorization', f'Bearer {KEY}')]).body.decode()
    assert '<script' not in page
    assert page.count('&lt;script&gt;') >= 8
    assert KEY not in page


def test_page_loads_no_resource() -> None:
    page = render_page(STATUS, QUEUES, accepted_age_s=3.0)
    policy = dict(PAGE_HEADERS)['content-security-policy']
    assert "default-src 'none'" in policy
    assert not any(
        pattern in page for pattern in ('src=', 'href=', 'url(', 'http')
    )


@pytest.mark.parametrize(
    'text', ['1.2 s', '4000', '3.0 s', '0.4 s ago', 'limit', '3, 4']
)
def test_page_shows_the_documents(text: str) -> None:
    assert text in render_page(STATUS, QUEUES, accepted_age_s=3.0)


def test_page_of_a_node_that_owns_nothing() -> None:
    page = render_page({}, {}, accepted_age_s=None)
    assert 'This node owns no queue.' in page
    assert 'This node owns no upstream.' in page
