"""The checks of refusals of crashing requests find each violation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from catkinreach_standins.platform.soak.example_calls import EXPLAINED, STREAM
from catkinreach_standins.platform.soak.history import (
    CallEnd,
    CallRecord,
    Disruption,
    DisruptionKind,
    History,
)
from catkinreach_standins.platform.soak.invariants import (
    RunRecords,
    find_violations,
)

QUARANTINED = replace(
    STREAM, end=CallEnd.REFUSED, status=500, code='internal', event_ids=()
)


def _find_after_crashes(calls: list[CallRecord], *crashes_s: float) -> str:
    records = RunRecords(
        history=History(calls=calls),
        runs={},
        sends={},
        logs={0: EXPLAINED},
        crashes_s=crashes_s,
    )
    return '\n'.join(find_violations(records))


@pytest.mark.parametrize(
    ('crash_s', 'is_found'), [(9.0, False), (4.1, False), (3.9, True)]
)
def test_harmless_stream_is_refused_long_after_a_crash(
    crash_s: float, *, is_found: bool
) -> None:
    found = _find_after_crashes([QUARANTINED], crash_s)
    assert ('wrongly refused with 500' in found) is is_found


@pytest.mark.parametrize(('refused', 'is_found'), [(10, False), (11, True)])
def test_most_harmless_streams_are_refused_after_the_fifth_crash(
    refused: int, *, is_found: bool
) -> None:
    calls = [replace(QUARANTINED, sent_s=12.0, ended_s=12.1)] * refused
    calls += [replace(STREAM, sent_s=12.0, ended_s=12.1)] * (20 - refused)
    found = _find_after_crashes(calls, 1.0, 2.0, 3.0, 4.0, 5.9, 11.0)
    assert ('harmless streams were refused' in found) is is_found


@pytest.mark.parametrize(
    ('late_count', 'disruption', 'is_found'),
    [
        (3, None, False),
        (4, None, True),
        (4, DisruptionKind.KILLED, False),
    ],
)
def test_crashing_requests_after_the_fifth_crash_are_found(
    late_count: int, disruption: DisruptionKind | None, *, is_found: bool
) -> None:
    calls = [
        replace(STREAM, request_id=f'r{number}', is_crashing=True)
        for number in range(late_count)
    ]
    history = History(calls=calls)
    if disruption is not None:
        history.disruptions.append(Disruption(0, disruption, 7.0, 8.0))
    arrivals = {call.request_id: (9.0,) for call in calls}
    records = RunRecords(
        history=history,
        runs={},
        sends=arrivals,
        logs={},
        prefills=arrivals,
        crashes_s=(1.0, 2.0, 3.0, 4.0, 5.0),
    )
    found = find_violations(records)
    text = f'{late_count} crashing requests reached upstreams'
    assert any(text in line for line in found) is is_found
