"""Request histories and causes, derived from synthetic log lines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from catkinreach_ctl.log_reading.cause import Cause, cause_of
from catkinreach_ctl.log_reading.lines import LogLine, read_lines
from catkinreach_ctl.log_reading.rendering import (
    render_history,
    summarize_causes,
)
from catkinreach_ctl.log_reading.request_history import build_histories

if TYPE_CHECKING:
    from collections.abc import Mapping

LOST = {'event': 'dependency-lost', 'dependency': 'store', 'reason': 'busy'}
BACK = {'event': 'dependency-back', 'dependency': 'store'}
CATALOG = {'event': 'catalog-accepted', 'version': 5}
PLACED = {'event': 'placed', 'request': 'r', 'decode': 'd', 'version': 5}
DOWN = {'event': 'upstream-down', 'upstream': 'd', 'reason': 'no connection'}


LEAVING = {'event': 'upstream-leaving', 'upstream': 'd'}
PAUSED = {'event': 'upstream-paused', 'upstream': 'd', 'pause_s': 1.5}
UNAVAILABLE = {'event': 'service-unavailable', 'request': 'r', 'service': 's'}


def _failed_send(reason: str, **fields: object) -> dict[str, object]:
    return {
        'event': 'send-failed',
        'request': 'r',
        'upstream': 'd',
        'reason': reason,
        **fields,
    }


def _refusal(code: str) -> dict[str, object]:
    return {'event': 'refused', 'request': 'r', 'code': code}


REFUSED = _refusal('no-upstream')


def _lines(
    *documents: Mapping[str, object], source: str = 'f'
) -> list[LogLine]:
    raw = [
        json.dumps({'time': 100.0 + number, **document}).encode()
        for number, document in enumerate(documents)
    ]
    return [line for line in read_lines(source, raw) if line is not None]


@pytest.mark.parametrize(
    ('documents', 'expected'),
    [
        ((PLACED, {'event': 'answered', 'request': 'r'}), Cause.SERVED),
        ((PLACED, {'event': 'caller-left', 'request': 'r'}), Cause.CALLER_LEFT),
        ((PLACED,), Cause.UNFINISHED),
        ((_refusal('queue-timeout'),), Cause.NO_CAPACITY),
        ((_refusal('rate-limited'),), Cause.WORKSPACE_LIMIT),
        ((_refusal('route-unknown'),), Cause.NOT_ALLOWED),
        ((LOST, _refusal('route-unknown')), Cause.STALE_VIEW),
        ((LOST, BACK, _refusal('route-unknown')), Cause.NOT_ALLOWED),
        (
            (_failed_send('refused', status=421), _refusal('x')),
            Cause.STALE_VIEW,
        ),
        (
            (_failed_send('broken'), _refusal('upstream-failed')),
            Cause.UPSTREAM_LOST,
        ),
        (
            (_failed_send('silent'), _refusal('queue-timeout')),
            Cause.UPSTREAM_LOST,
        ),
        ((LOST, _failed_send('unreachable'), _refusal('x')), Cause.STALE_VIEW),
        (
            (_failed_send('failed', status=500), _refusal('x')),
            Cause.UPSTREAM_FAILED,
        ),
        ((_refusal('config-missing'),), Cause.NOT_CONFIGURED),
        ((_refusal('internal'),), Cause.OTHER),
        (
            ({**PAUSED, 'request': 'r'}, _failed_send('refused'), REFUSED),
            Cause.UPSTREAM_PAUSED,
        ),
        (
            ({**LEAVING, 'request': 'r'}, _failed_send('refused'), REFUSED),
            Cause.UPSTREAM_LEAVING,
        ),
        (
            (LEAVING, _failed_send('closed-to-requests'), REFUSED),
            Cause.UPSTREAM_LEAVING,
        ),
        (
            (PAUSED, _failed_send('closed-to-requests'), REFUSED),
            Cause.UPSTREAM_PAUSED,
        ),
        ((_failed_send('refused'), REFUSED), Cause.NO_CAPACITY),
        ((PAUSED, REFUSED), Cause.NO_CAPACITY),
        (
            (LOST, {**UNAVAILABLE, 'paused': ['d'], 'leaving': []}, REFUSED),
            Cause.UPSTREAM_PAUSED,
        ),
        (
            ({**UNAVAILABLE, 'paused': [], 'leaving': ['d']}, REFUSED),
            Cause.UPSTREAM_LEAVING,
        ),
    ],
)
def test_cause_of_request_end(
    documents: tuple[Mapping[str, object], ...], expected: Cause
) -> None:
    (history,) = build_histories(_lines(*documents), 'r')
    assert cause_of(history) is expected


def test_process_start_resets_node_state() -> None:
    lines = _lines(LOST, {'event': 'start'}, _refusal('route-unknown'))
    (history,) = build_histories(lines, 'r')
    assert history.store_lost is None


def test_rendered_history_shows_node_state_with_age() -> None:
    lines = _lines(
        CATALOG,
        DOWN,
        PLACED,
        _failed_send('broken', detail='reply broke off'),
        {'event': 'failed', 'request': 'r', 'reason': 'reply broke off'},
    )
    (history,) = build_histories(lines, 'r')
    text = '\n'.join(render_history(history))
    assert 'a send failed (broken: reply broke off)' in text
    assert 'configuration 5, accepted 4.0 s before' in text
    assert 'd: upstream-down no connection, 3.0 s before' in text
    assert text.endswith('cause: an upstream was lost or silent')


def test_rendered_history_shows_that_an_upstream_wants_a_pause() -> None:
    lines = _lines({**PAUSED, 'request': 'r'}, _failed_send('refused'), REFUSED)
    (history,) = build_histories(lines, 'r')
    text = '\n'.join(render_history(history))
    assert 'was told that an upstream wants a pause; upstream d' in text
    assert 'd: upstream-paused 1.5, 2.0 s before' in text
    assert text.endswith('cause: upstreams asked for a pause')


def test_node_state_is_kept_per_process() -> None:
    lines = [
        *_lines(LOST, source='one'),
        *_lines(_refusal('route-unknown'), source='two'),
    ]
    (history,) = build_histories(lines, 'r')
    assert cause_of(history) is Cause.NOT_ALLOWED


def test_summary_counts_requests_by_cause() -> None:
    lines = _lines(
        {**_refusal('queue-timeout'), 'request': 'a'},
        {**_refusal('queue-timeout'), 'request': 'b'},
        {**_refusal('rate-limited'), 'request': 'c'},
        {'event': 'answered', 'request': 'd'},
    )
    report_lines = summarize_causes(build_histories(lines))
    assert report_lines[0] == '1 served, 3 others'
    assert Cause.NO_CAPACITY.value in report_lines[1]
    assert 'a, b' in report_lines[1]


def test_unreadable_lines_yield_none() -> None:
    assert list(read_lines('f', [b'Traceback', b'{"time": 1}'])) == [None, None]
