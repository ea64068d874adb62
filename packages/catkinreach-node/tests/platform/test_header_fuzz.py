"""Headers and prefill replies from outside, whatever is in them."""

from __future__ import annotations

import math
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.gateway.metadata import ForwardMetadata
from catkinreach_core.ids import UpstreamId
from catkinreach_core.ranges import MAX_COUNT, MAX_MS
from catkinreach_core.settings.node import Address
from catkinreach_node.http.messages import Headers, HttpRequest, encode_headers
from catkinreach_node.platform.wire import MAX_IDLE_S, PlatformDialect
from catkinreach_standins.fakes.fuzz_inputs import (
    damaged_json,
    fuzz_settings,
    stored_inputs,
)
from catkinreach_standins.fakes.sendable import is_sendable

ENGINE = Address(host='10.0.0.1', port=80)
CORPUS = Path(__file__).parent / 'corpus' / 'prefill'
NAMES = (
    'request-id',
    'deadline-ms',
    'token-count',
    'last-event-id',
    'prompt-prefix',
    'authorization',
    'connection',
    'host',
    'keep-alive',
    'retry-after',
    'instance-id',
    'not-executed',
    'server-leaving',
    'response-seal',
)
NUMBERS = (
    '',
    '-1',
    'nan',
    'inf',
    '1e400',
    '1_0',
    '0' * 5_000,
    '9' * 5_000,
    ' 7 ',
    '5,9',
    ',',
    '\xb2',
    'timeout=nan',
    'timeout=inf, max=5',
    'timeout=1e999',
    'a:1,b:2,',
    'Bearer  x',
)
# As they arrive: h11 lets no control character through.
TEXTS = st.one_of(
    st.sampled_from(NUMBERS),
    st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=30),
)
HEADERS = st.lists(st.tuples(st.sampled_from(NAMES), TEXTS), max_size=8)


def _forward(request: HttpRequest, resume_after: int | None) -> HttpRequest:
    metadata = ForwardMetadata(
        upstream_id=UpstreamId('a'),
        deadline_s=1.0,
        priority=1,
        workspace_id=None,
        resume_after=resume_after,
    )
    return PlatformDialect().upstream_request(request, metadata)


@fuzz_settings()
@given(headers=HEADERS)
@example(headers=[('token-count', '0' * 5_000)])
@example(headers=[('last-event-id', '0' * 4_301 + '7')])
def test_odd_headers_of_a_caller_raise_or_are_out_of_range(
    headers: Headers,
) -> None:
    request = HttpRequest('GET', '/x', headers)
    metadata = PlatformDialect().read_request(request)
    for count in (metadata.prompt_tokens, metadata.resume_after):
        assert count is None or 0 <= count <= MAX_COUNT
    assert 0 <= metadata.output_tokens <= MAX_COUNT
    if metadata.deadline_s is not None:
        assert 0 <= metadata.deadline_s <= MAX_MS
    encode_headers(_forward(request, metadata.resume_after).headers)


@fuzz_settings()
@given(status=st.integers(200, 999), headers=HEADERS)
@example(status=503, headers=[('retry-after', 'inf')])
def test_odd_headers_of_a_reply_raise_or_are_out_of_range(
    status: int, headers: Headers
) -> None:
    dialect = PlatformDialect()
    metadata = dialect.read_reply(status, headers)
    if metadata.idle_timeout_s is not None:
        assert 0 <= metadata.idle_timeout_s <= MAX_IDLE_S
    if metadata.pause_s is not None:
        assert metadata.pause_s >= 0
        assert not math.isnan(metadata.pause_s)
    encode_headers(dialect.caller_headers(headers))


def _check_prefill(body: bytes) -> None:
    dialect = PlatformDialect()
    handle = dialect.read_handle(ENGINE, body)
    if handle is None:
        return
    release = dialect.release_request(handle)
    assert is_sendable(release)
    metadata = ForwardMetadata(
        upstream_id=UpstreamId('a'),
        deadline_s=1.0,
        priority=1,
        workspace_id=None,
        source=handle,
    )
    assert is_sendable(
        dialect.upstream_request(HttpRequest('POST', '/x'), metadata)
    )


# A handle that no header can carry failed the request, and its release.
@fuzz_settings()
@given(body=damaged_json({'handle': 'h-1', 'tokens': 7}))
def test_odd_prefill_reply_gives_a_handle_that_fails(
    body: bytes,
) -> None:
    _check_prefill(body)


@pytest.mark.parametrize('name', stored_inputs(CORPUS))
def test_stored_prefill_reply_fails_again(name: str) -> None:
    _check_prefill(stored_inputs(CORPUS)[name])
