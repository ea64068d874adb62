"""The checks of a soak find each violation in constructed records."""

from __future__ import annotations

from dataclasses import replace

import pytest

from catkinreach_standins.platform.soak.example_calls import (
    CUT_STREAM,
    EXPLAINED,
    ORDER,
    READ,
    REFUSED,
    STREAM,
    WHOLE,
)
from catkinreach_standins.platform.soak.history import (
    CallEnd,
    CallRecord,
    Disruption,
    DisruptionKind,
    History,
    LinkDisruption,
)
from catkinreach_standins.platform.soak.invariants import (
    RunRecords,
    find_violations,
)


def _find(
    call: CallRecord,
    *,
    runs: int = 0,
    log: str = EXPLAINED,
    disruption: DisruptionKind | None = None,
    faulty_link: str = '',
    is_healthy: bool = True,
) -> list[str]:
    history = History(calls=[call])
    if faulty_link:
        history.link_disruptions.append(
            LinkDisruption(faulty_link, 10.0, 10.01)
        )
    if disruption is not None:
        history.disruptions.append(Disruption(0, disruption, 10.05, 10.06))
    return find_violations(
        RunRecords(
            history=history,
            runs={'r': runs},
            sends={},
            logs={0: log},
            upstreams_by_id={'r': {'a'}},
            faulty_ids=frozenset() if is_healthy else frozenset({'r'}),
        )
    )


@pytest.mark.parametrize(
    ('call', 'runs'),
    [
        (READ, 1),
        (ORDER, 1),
        (STREAM, 2),
        (STREAM, 3),
        (READ, 3),
        (REFUSED, 0),
        (replace(CUT_STREAM, ended_s=13.1), 2),
        (replace(READ, end=CallEnd.CANCELLED, status=0), 1),
        (replace(READ, end=CallEnd.FAILED, status=500), 1),
        (replace(READ, end=CallEnd.CONNECT_FAILED, status=0), 0),
    ],
)
def test_allowed_outcome_is_no_violation(call: CallRecord, runs: int) -> None:
    assert not _find(call, runs=runs)


@pytest.mark.parametrize(
    ('call', 'runs', 'text'),
    [
        (ORDER, 2, 'ran 2 times'),
        (STREAM, 4, 'ran 4 times'),
        (READ, 4, 'ran 4 times'),
        (REFUSED, 1, 'refused as not run'),
        (replace(REFUSED, status=401), 0, 'wrongly refused with 401'),
        (
            replace(REFUSED, status=500, code='internal'),
            0,
            'wrongly refused with 500',
        ),
        (
            replace(REFUSED, status=404, is_crashing=True),
            0,
            'wrongly refused with 404',
        ),
        (replace(READ, end=CallEnd.TIMED_OUT), 0, 'got no response in time'),
        (
            replace(READ, end=CallEnd.NO_RESPONSE),
            0,
            'closed without a response',
        ),
        (replace(STREAM, event_ids=(1, 2, 4)), 1, 'event ids are (1, 2, 4)'),
        (replace(STREAM, event_ids=WHOLE[:2]), 1, 'ended as complete'),
        (replace(STREAM, has_partial_event=True), 1, 'ended within the event'),
        (replace(REFUSED, ended_s=14.5), 0, 'after 4.5 s'),
        (
            replace(READ, end=CallEnd.FAILED, status=500),
            0,
            'no upstream ran it',
        ),
        (CUT_STREAM, 1, 'of healthy engines'),
        (
            replace(STREAM, end=CallEnd.REFUSED, status=504, event_ids=()),
            1,
            'of healthy engines',
        ),
        (
            replace(ORDER, end=CallEnd.FAILED, status=503),
            1,
            'failed with 503, ran 1 times',
        ),
        (replace(READ, body=b''), 1, "answered with the body b''"),
        (replace(READ, body=b'b ran r'), 1, 'answered with the body'),
        (replace(STREAM, body=b'engine failed'), 1, 'bytes of no event'),
    ],
)
def test_violation_is_found(call: CallRecord, runs: int, text: str) -> None:
    found = _find(call, runs=runs)
    assert any(text in line for line in found)


def test_refusal_without_a_log_line_is_found() -> None:
    assert 'no log line explains it' in _find(REFUSED, log='')[0]


def test_log_line_that_is_not_json_is_found() -> None:
    assert 'wrote: Traceback' in _find(READ, log='Traceback\n')[0]


def test_killed_process_may_lose_its_requests() -> None:
    no_response = replace(READ, end=CallEnd.NO_RESPONSE)
    assert not _find(no_response, runs=1, disruption=DisruptionKind.KILLED)


def test_stopping_process_may_drop_only_requests_not_run() -> None:
    no_response = replace(READ, end=CallEnd.NO_RESPONSE)
    assert not _find(no_response, disruption=DisruptionKind.STOPPING)
    assert _find(no_response, runs=1, disruption=DisruptionKind.STOPPING)


@pytest.mark.parametrize('disruption', DisruptionKind)
def test_disrupted_front_may_cut_a_stream(disruption: DisruptionKind) -> None:
    assert not _find(CUT_STREAM, runs=1, disruption=disruption)


def test_stream_of_a_faulty_engine_may_be_cut() -> None:
    assert not _find(CUT_STREAM, runs=1, is_healthy=False)


def test_only_links_to_its_engines_excuse_a_cut_stream() -> None:
    assert not _find(CUT_STREAM, runs=1, faulty_link='a')
    assert _find(CUT_STREAM, runs=1, faulty_link='b')


def test_request_that_crashes_engines_may_be_refused() -> None:
    refused = replace(REFUSED, status=500, code='internal', is_crashing=True)
    assert not _find(refused)


@pytest.mark.parametrize(
    ('idle_s', 'runs', 'is_found'),
    [(0.8, 0, True), (0.81, 0, False), (0.81, 1, True)],
)
def test_only_a_connection_that_was_idle_too_long_may_close(
    idle_s: float, runs: int, *, is_found: bool
) -> None:
    no_response = replace(READ, end=CallEnd.NO_RESPONSE, idle_s=idle_s)
    history = History(
        calls=[no_response],
        idle_limits=[(0.0, 2.0), (5.0, 1.0), (8.0, 3.0), (20.0, 0.1)],
    )
    records = RunRecords(
        history=history, runs={'r': runs}, sends={}, logs={0: EXPLAINED}
    )
    assert bool(find_violations(records)) is is_found


@pytest.mark.parametrize(
    ('duration_s', 'is_found'), [(2.97, True), (2.981, False)]
)
def test_stream_that_reaches_its_deadline_may_be_cut(
    duration_s: float, *, is_found: bool
) -> None:
    call = replace(CUT_STREAM, ended_s=CUT_STREAM.sent_s + duration_s)
    assert bool(_find(call, runs=1)) is is_found


@pytest.mark.parametrize(
    ('lag_s', 'is_found'), [(0.0, True), (0.4, True), (0.6, False)]
)
@pytest.mark.parametrize(
    'call',
    [
        replace(REFUSED, ended_s=14.5),
        replace(READ, end=CallEnd.NO_RESPONSE, ended_s=11.0, idle_s=1.1),
    ],
)
def test_time_in_which_the_caller_was_held_up_does_not_count(
    call: CallRecord, lag_s: float, *, is_found: bool
) -> None:
    history = History(
        calls=[call],
        idle_limits=[(0.0, 2.0)],
        lags=[(9.0, 0.9), (10.2, lag_s), (15.0, 2.0)],
    )
    records = RunRecords(
        history=history, runs={}, sends={}, logs={0: EXPLAINED}
    )
    assert bool(find_violations(records)) is is_found


@pytest.mark.parametrize(
    ('lag', 'is_found'),
    [((8.0, 0.6), False), ((8.0, 0.4), True), ((9.0, 0.6), True)],
)
def test_only_a_lag_at_its_last_call_extends_the_idle_time(
    lag: tuple[float, float], *, is_found: bool
) -> None:
    # Its last call ended at 8.6 s, or earlier if that was noticed late.
    call = replace(READ, end=CallEnd.NO_RESPONSE, idle_s=1.4)
    history = History(calls=[call], idle_limits=[(0.0, 2.0)], lags=[lag])
    records = RunRecords(
        history=history, runs={}, sends={}, logs={0: EXPLAINED}
    )
    assert bool(find_violations(records)) is is_found


@pytest.mark.parametrize(
    ('call', 'upstreams'),
    [(READ, 'abc'), (STREAM, 'def'), (ORDER, 'ab')],
)
def test_call_that_runs_at_too_many_upstreams_is_no_violation(
    call: CallRecord, upstreams: str
) -> None:
    records = RunRecords(
        history=History(calls=[call]),
        runs={'r': 1},
        sends={},
        logs={0: EXPLAINED},
        upstreams_by_id={'r': set(upstreams)},
    )
    (found,) = find_violations(records)
    assert f'ran at {len(upstreams)} upstreams' in found
