"""Each violation is found on planted records."""

from __future__ import annotations

from dataclasses import replace

import pytest

from catkinreach_standins.platform.soak.history import (
    CallEnd,
    CallKind,
    CallRecord,
    History,
    Trouble,
    TroubleKind,
)
from catkinreach_standins.platform.soak.invariants import Evidence, violations
from catkinreach_standins.platform.upstream import EVENT_COUNT

WHOLE = tuple(range(1, EVENT_COUNT + 1))
EXPLAINED = '{"event":"refused","request":"r"}\n'

READ = CallRecord(
    request_id='r',
    kind=CallKind.READ,
    front=0,
    sent_s=10.0,
    ended_s=10.1,
    end=CallEnd.ANSWERED,
    status=200,
)
ORDER = replace(READ, kind=CallKind.ORDER)
STREAM = replace(READ, kind=CallKind.STREAM, events=WHOLE)
REFUSED = replace(
    READ, end=CallEnd.REFUSED, status=503, code='busy', outcome='not-run'
)


def _found(
    call: CallRecord,
    *,
    runs: int = 0,
    log: str = EXPLAINED,
    trouble: TroubleKind | None = None,
) -> list[str]:
    history = History(calls=[call])
    if trouble is not None:
        history.troubles.append(Trouble(0, trouble, 10.05, 10.06))
    return violations(
        Evidence(history=history, runs={'r': runs}, sends={}, logs={0: log})
    )


@pytest.mark.parametrize(
    ('call', 'runs'),
    [
        (READ, 1),
        (ORDER, 1),
        (STREAM, 2),
        (REFUSED, 0),
        (replace(STREAM, end=CallEnd.CUT, events=WHOLE[:3]), 2),
        (replace(READ, end=CallEnd.LEFT, status=0), 1),
        (replace(READ, end=CallEnd.FAILED, status=500), 1),
        (replace(READ, end=CallEnd.UNREACHED, status=0), 0),
    ],
)
def test_what_is_allowed_is_not_found(call: CallRecord, runs: int) -> None:
    assert not _found(call, runs=runs)


@pytest.mark.parametrize(
    ('call', 'runs', 'text'),
    [
        (ORDER, 2, 'ran 2 times'),
        (STREAM, 3, 'ran 3 times'),
        (REFUSED, 1, 'refused as not run'),
        (replace(REFUSED, status=401), 0, 'answered 401'),
        (replace(READ, end=CallEnd.TIMED_OUT), 0, 'was not answered'),
        (replace(READ, end=CallEnd.BROKEN), 0, 'dropped without an answer'),
        (replace(STREAM, events=(1, 2, 4)), 1, 'events (1, 2, 4)'),
        (replace(STREAM, events=WHOLE[:2]), 1, 'a false end'),
        (replace(STREAM, has_torn_event=True), 1, 'is torn'),
        (replace(REFUSED, ended_s=14.5), 0, 'after 4.5 s'),
        (replace(READ, end=CallEnd.FAILED, status=500), 0, 'no upstream gave'),
    ],
)
def test_violation_is_found(call: CallRecord, runs: int, text: str) -> None:
    found = _found(call, runs=runs)
    assert any(text in line for line in found)


def test_end_that_no_log_explains_is_found() -> None:
    assert 'no line of a log' in _found(REFUSED, log='')[0]


def test_line_that_is_no_document_is_found() -> None:
    assert 'wrote: Traceback' in _found(READ, log='Traceback\n')[0]


def test_killed_process_takes_its_requests_along() -> None:
    broken = replace(READ, end=CallEnd.BROKEN)
    assert not _found(broken, runs=1, trouble=TroubleKind.KILLED)


def test_stopping_process_may_only_drop_what_did_not_run() -> None:
    broken = replace(READ, end=CallEnd.BROKEN)
    assert not _found(broken, trouble=TroubleKind.STOPPING)
    assert _found(broken, runs=1, trouble=TroubleKind.STOPPING)


def test_repeats_over_the_budget_are_found() -> None:
    sends = {f'r{number}': (1.0, 2.0) for number in range(80)}
    evidence = Evidence(history=History(), runs={}, sends=sends, logs={})
    assert 'repeats' in violations(evidence)[0]
