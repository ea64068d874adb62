"""Decoding of the platform's request headers."""

from __future__ import annotations

import pytest

from catkinreach_node.http.messages import HttpRequest
from catkinreach_node.platform.wire import PlatformDialect


@pytest.mark.parametrize(
    ('prefix', 'shared_parts'),
    [
        ('', ()),
        ('91bd3f06:410', ()),
        ('5C1e07a2:800, 91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('5c1e07a2,,e4402b7d', ('5c1e07a2',)),
    ],
)
def test_all_parts_of_a_prompt_but_the_last_are_shared(
    prefix: str, shared_parts: tuple[str, ...]
) -> None:
    request = HttpRequest('POST', '/', [('prompt-prefix', prefix)])
    metadata = PlatformDialect().read_request(request)
    assert metadata.shared_parts == shared_parts


DIGITS = '9' * 400


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('token-count', f'1460,{DIGITS}'),
        ('token-count', f'{DIGITS},80'),
        ('token-count', f'{DIGITS * 20},80'),
        ('token-count', f'1460,{2**31}'),
        ('last-event-id', DIGITS),
        ('deadline-ms', DIGITS),
        ('deadline-ms', 'nan'),
        ('deadline-ms', 'inf'),
        ('deadline-ms', '-1'),
    ],
)
def test_number_out_of_range_is_taken(name: str, text: str) -> None:
    # A process ended as it added such a number to others, 8 s later.
    request = HttpRequest('POST', '/', [(name, text)])
    metadata = PlatformDialect().read_request(request)
    assert metadata.out_of_range == name
    assert metadata.total_tokens <= 1460
    assert metadata.deadline_s is None
    assert metadata.resume_after is None


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('token-count', '1460,80'),
        ('token-count', f'{"0" * 400}7,{2**31 - 1}'),
        ('token-count', 'many'),
        ('deadline-ms', '0'),
        ('deadline-ms', '600.5'),
    ],
)
def test_number_within_its_range_is_refused(name: str, text: str) -> None:
    request = HttpRequest('POST', '/', [(name, text)])
    assert not PlatformDialect().read_request(request).out_of_range


@pytest.mark.parametrize('timeout', ['nan', 'inf', '-1', DIGITS, 'x', ''])
def test_odd_idle_timeout_of_an_upstream_is_taken(timeout: str) -> None:
    headers = [('keep-alive', f'timeout={timeout}')]
    assert PlatformDialect().read_reply(200, headers).idle_timeout_s is None


@pytest.mark.parametrize(
    ('text', 'per_s'),
    [
        ('2.2', 2.2),
        ('0', 0.0),
        ('-1', None),
        ('many', None),
        ('nan', None),
        ('1e300', None),
        (None, None),
    ],
)
def test_limit_of_an_upstream_is_read(
    text: str | None, per_s: float | None
) -> None:
    headers = [] if text is None else [('server-limit', text)]
    reply = PlatformDialect().read_reply(200, headers)
    assert reply.limit_per_s == per_s


@pytest.mark.parametrize(
    ('status', 'text', 'pause_s'),
    [
        (503, '2', 2.0),
        (503, '0.25', 0.25),
        (503, '0', 0.0),
        (503, '1e9', 1e9),
        (503, '-1', None),
        (503, 'nan', None),
        (503, 'Fri, 31 Dec 1999 23:59:59 GMT', None),
        (503, '', None),
        (429, '2', None),
        (200, '2', None),
    ],
)
def test_pause_that_an_upstream_asks_for_is_read(
    status: int, text: str, pause_s: float | None
) -> None:
    reply = PlatformDialect().read_reply(status, [('retry-after', text)])
    assert reply.pause_s == pause_s


@pytest.mark.parametrize(
    ('headers', 'is_leaving'),
    [([], False), ([('server-leaving', '1')], True)],
)
def test_upstream_that_leaves_is_read(
    headers: list[tuple[str, str]], *, is_leaving: bool
) -> None:
    assert PlatformDialect().read_reply(200, headers).is_leaving is is_leaving


# A report of another type or out of range is as good as none.
@pytest.mark.parametrize(
    ('body', 'started_ms'),
    [
        (b'{"born":1700000000000,"stage":"decode"}', 1_700_000_000_000),
        (b'{"stage":"decode"}', None),
        (b'{"born":"1700000000000"}', None),
        (b'{"born":1.5}', None),
        (b'{"born":99999999999999999999}', None),
        (b'[' * 100_000, None),
        (b'', None),
    ],
)
def test_report_with_an_odd_start_is_misread(
    body: bytes, started_ms: int | None
) -> None:
    assert PlatformDialect().read_started_ms(body) == started_ms
