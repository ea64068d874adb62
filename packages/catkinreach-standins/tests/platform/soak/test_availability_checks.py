"""The checks of engines that leave or ask for a pause find each violation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from catkinreach_standins.platform.soak.availability_checks import (
    LEAVE_S,
    LISTING_S,
    MAX_PAUSE_ARRIVALS,
    PAUSE_START_S,
    PROMPT_S,
)
from catkinreach_standins.platform.soak.example_calls import EXPLAINED, READ
from catkinreach_standins.platform.soak.history import (
    STORE_LINK,
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
from catkinreach_standins.platform.upstream_availability import (
    Arrival,
    Notice,
    UpstreamAvailability,
)

TOLD_S = 10.0
LATE_S = TOLD_S + LEAVE_S + 0.1
PAUSE_S = 3.0
IN_PAUSE_S = TOLD_S + PAUSE_START_S + 0.1


def _call(request_id: str, at_s: float, front: int = 0) -> CallRecord:
    return replace(
        READ,
        request_id=request_id,
        front=front,
        sent_s=at_s - 0.01,
        ended_s=at_s + 0.01,
    )


def _find(
    engine: UpstreamAvailability, calls: list[CallRecord], history: History
) -> str:
    history.calls += calls
    records = RunRecords(
        history=history,
        runs={},
        sends={},
        logs={0: EXPLAINED},
        availability=[engine],
    )
    found = find_violations(records)
    return '\n'.join(text for text in found if text.startswith('engine'))


def _find_late(
    at_s: float = LATE_S,
    *,
    front: int = 0,
    incarnation: int = 0,
    told: CallRecord | None = None,
    answer_s: float = 0.0,
    history: History | None = None,
    started_s: float | None = None,
) -> str:
    """Returns what is found if an engine that leaves gets a request."""
    engine = UpstreamAvailability('engine')
    if started_s is not None:
        engine.starts_s[0] = started_s
    engine.arrivals += [
        Arrival(TOLD_S - answer_s, 'told', 0),
        Arrival(at_s, 'late', incarnation),
    ]
    engine.notices.append(Notice(TOLD_S, 'told', 0))
    calls = [told or _call('told', TOLD_S), _call('late', at_s, front)]
    return _find(engine, calls, history or History())


def _find_in_pause(
    count: int = MAX_PAUSE_ARRIVALS + 1,
    at_s: float = IN_PAUSE_S,
    *,
    front: int = 0,
    history: History | None = None,
) -> str:
    """Returns what is found if requests reach an engine in its pause."""
    engine = UpstreamAvailability('engine')
    engine.arrivals.append(Arrival(TOLD_S, 'told', 0))
    engine.notices.append(Notice(TOLD_S, 'told', 0, PAUSE_S))
    calls = [_call('told', TOLD_S)]
    for number in range(count):
        engine.arrivals.append(Arrival(at_s, f'late-{number}', 0))
        calls.append(_call(f'late-{number}', at_s, front))
    return _find(engine, calls, history or History())


def _disrupted(kind: DisruptionKind, from_s: float, until_s: float) -> History:
    return History(disruptions=[Disruption(0, kind, from_s, until_s)])


def _cut(link: str, from_s: float, until_s: float) -> History:
    return History(link_disruptions=[LinkDisruption(link, from_s, until_s)])


def test_request_to_an_engine_that_leaves_is_found() -> None:
    assert 'told front 0' in _find_late()
    assert 'first late' in _find_late(TOLD_S + 60.0)


def test_soon_request_to_an_engine_that_leaves_is_found() -> None:
    assert not _find_late(TOLD_S + LEAVE_S)


def test_request_of_another_front_or_to_its_successor_is_found() -> None:
    assert not _find_late(front=1)
    assert not _find_late(incarnation=1)


@pytest.mark.parametrize('kind', DisruptionKind)
def test_only_a_disruption_since_then_excuses_a_front(
    kind: DisruptionKind,
) -> None:
    between_s = TOLD_S + LEAVE_S / 2
    assert not _find_late(history=_disrupted(kind, between_s, between_s))
    assert _find_late(history=_disrupted(kind, LATE_S + 1, LATE_S + 2))
    assert _find_late(history=_disrupted(kind, 1.0, 2.0))


def test_store_out_of_reach_excuses_a_front() -> None:
    assert _find_late(history=_cut(STORE_LINK, TOLD_S - 1, LATE_S))


@pytest.mark.parametrize(
    'told',
    [
        replace(_call('told', TOLD_S), end=CallEnd.CANCELLED),
        replace(_call('told', TOLD_S), end=CallEnd.NO_RESPONSE),
        _call('other', TOLD_S),
    ],
)
def test_answer_that_the_front_may_not_have_read_counts(
    told: CallRecord,
) -> None:
    assert not _find_late(told=told)


def test_answer_that_came_late_or_on_a_cut_link_counts() -> None:
    assert not _find_late(answer_s=PROMPT_S + 0.1)
    assert not _find_late(history=_cut('engine', TOLD_S, TOLD_S))


def test_answer_of_an_incarnation_that_is_not_known_counts() -> None:
    known_s = TOLD_S - LISTING_S - 0.1
    assert _find_late(started_s=known_s)
    assert not _find_late(started_s=TOLD_S - LISTING_S + 0.1)
    history = _cut(STORE_LINK, known_s, known_s)
    assert not _find_late(started_s=known_s, history=history)


def test_requests_in_a_pause_are_found() -> None:
    assert 'got 3 requests' in _find_in_pause()
    assert not _find_in_pause(MAX_PAUSE_ARRIVALS)
    assert not _find_in_pause(front=1)


@pytest.mark.parametrize('at_s', [TOLD_S + PAUSE_START_S, TOLD_S + PAUSE_S])
def test_requests_before_and_after_a_pause_are_found(at_s: float) -> None:
    assert not _find_in_pause(at_s=at_s)


@pytest.mark.parametrize('kind', DisruptionKind)
def test_disruption_in_a_pause_excuses_a_front(kind: DisruptionKind) -> None:
    end_s = TOLD_S + PAUSE_S
    assert not _find_in_pause(history=_disrupted(kind, end_s, end_s))
    assert _find_in_pause(history=_disrupted(kind, end_s + 1, end_s + 2))


def test_cut_of_another_link_excuses_a_front() -> None:
    assert not _find_in_pause(history=_cut('engine', IN_PAUSE_S, IN_PAUSE_S))
    assert _find_in_pause(history=_cut('other', IN_PAUSE_S, IN_PAUSE_S))
    assert _find_in_pause(history=_cut(STORE_LINK, IN_PAUSE_S, IN_PAUSE_S))


def test_lag_of_the_soak_itself_is_blamed_on_a_front() -> None:
    lags = [(TOLD_S, 0.6)]
    assert not _find_late(history=History(lags=lags))
    assert not _find_in_pause(history=History(lags=lags))
