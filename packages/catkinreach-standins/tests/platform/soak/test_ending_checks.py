"""The check of log lines of unanswered requests finds each violation."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from catkinreach_standins.platform.soak.ending_checks import check_endings
from catkinreach_standins.platform.soak.example_calls import (
    CUT_STREAM,
    READ,
    REFUSED,
)
from catkinreach_standins.platform.soak.history import (
    CallEnd,
    CallRecord,
    Disruption,
    DisruptionKind,
    History,
)
from catkinreach_standins.platform.soak.invariants import RunRecords

BROKEN = replace(READ, end=CallEnd.NO_RESPONSE, status=0, body=b'')
LEFT = replace(BROKEN, end=CallEnd.CANCELLED)

PLACED = '{"event":"placed","request":"r"}\n'
REFUSED_SEND = '{"event":"send-failed","request":"r"}\n'
UNANSWERED = '{"event":"unanswered","request":"r","code":"broken-off"}\n'
FAILED = '{"event":"failed","request":"r"}\n'
OTHER = '{"event":"unanswered","request":"s","code":"broken-off"}\n'
UNREAD = '{"event":"unanswered","request":null,"code":"no-request"}\n'
DROPPED = '{"event":"lines-dropped","count":{"unanswered":1}}\n'
OTHERS_DROPPED = '{"event":"lines-dropped","count":{"answered":1}}\n'


def _find(
    call: CallRecord,
    log: str,
    *,
    runs: int = 0,
    disruption: Disruption | None = None,
) -> int:
    history = History(calls=[call])
    if disruption is not None:
        history.disruptions.append(disruption)
    records = RunRecords(
        history=history,
        runs={'r': runs},
        sends={},
        logs={0: log, 1: UNANSWERED},
    )
    return len(list(check_endings(records)))


@pytest.mark.parametrize(
    ('call', 'log', 'runs', 'violations'),
    [
        (CUT_STREAM, PLACED + UNANSWERED, 1, 0),
        (CUT_STREAM, PLACED + FAILED, 1, 0),
        (CUT_STREAM, PLACED + REFUSED_SEND, 1, 1),
        (CUT_STREAM, PLACED + OTHER, 1, 1),
        (CUT_STREAM, '', 1, 1),
        (BROKEN, PLACED, 0, 1),
        (BROKEN, PLACED + UNANSWERED, 0, 0),
        (BROKEN, UNREAD, 0, 0),
        (BROKEN, UNREAD, 1, 1),
        (BROKEN, PLACED + DROPPED, 0, 0),
        (BROKEN, PLACED + OTHERS_DROPPED, 0, 1),
        (REFUSED, PLACED, 0, 0),
        (LEFT, PLACED, 0, 0),
    ],
)
def test_line_of_an_end(
    call: CallRecord, log: str, runs: int, violations: int
) -> None:
    assert _find(call, log, runs=runs) == violations


def test_earlier_builds_need_no_such_line() -> None:
    call = replace(CUT_STREAM, build=Path('build-51a398b'))
    assert not _find(call, PLACED)


@pytest.mark.parametrize('kind', list(DisruptionKind))
@pytest.mark.parametrize(
    ('front', 'from_s', 'until_s', 'violations'),
    [
        (0, 10.05, 10.06, 0),
        (0, 10.2, 10.3, 0),
        (0, 11.0, 12.0, 1),
        (0, 8.0, 9.0, 1),
        (1, 10.05, 10.06, 1),
    ],
)
def test_disruption_of_its_front_excuses_a_call(
    kind: DisruptionKind,
    front: int,
    from_s: float,
    until_s: float,
    violations: int,
) -> None:
    disruption = Disruption(front, kind, from_s, until_s)
    assert _find(CUT_STREAM, PLACED, disruption=disruption) == violations
