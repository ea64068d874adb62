"""The checks of streams over all calls by which callers took them up."""

from __future__ import annotations

from dataclasses import replace

import pytest

from catkinreach_standins.platform.soak.example_calls import (
    CUT_STREAM,
    EXPLAINED,
    STREAM,
    WHOLE,
)
from catkinreach_standins.platform.soak.history import CallRecord, History
from catkinreach_standins.platform.soak.invariants import (
    RunRecords,
    find_violations,
)

V1 = frozenset({'v1'})
V2 = frozenset({'v2'})
BEGUN = replace(CUT_STREAM, versions=V1)
RESUMED = replace(
    STREAM,
    request_id='s',
    event_ids=WHOLE[3:],
    versions=V1,
    resumes='r',
    resumed_after=3,
)


def _find(*calls: CallRecord) -> list[str]:
    return find_violations(
        RunRecords(
            history=History(calls=list(calls)),
            runs={'r': 1, 's': 1},
            sends={},
            logs={0: EXPLAINED},
            upstreams_by_id={'r': {'d'}, 's': {'e'}},
            faulty_ids=frozenset({'r', 's'}),
        )
    )


def test_stream_of_one_version_is_no_violation() -> None:
    assert not _find(BEGUN, RESUMED)


@pytest.mark.parametrize(
    ('calls', 'text'),
    [
        (
            (BEGUN, replace(RESUMED, versions=V2)),
            "stream r over calls r, s: holds events of versions ['v1', 'v2']",
        ),
        (
            (replace(STREAM, versions=V1 | V2),),
            "stream r over calls r: holds events of versions ['v1', 'v2']",
        ),
        (
            (BEGUN, replace(RESUMED, event_ids=WHOLE[2:], resumed_after=2)),
            'event ids are [1, 2, 3, 3, 4, 5, 6]',
        ),
        (
            (BEGUN, replace(RESUMED, event_ids=WHOLE[4:])),
            'event ids are (5, 6)',
        ),
        (
            (BEGUN, replace(RESUMED, event_ids=WHOLE[3:5])),
            'ended as complete after 5 events',
        ),
    ],
)
def test_violation_over_the_calls_of_a_stream_is_found(
    calls: tuple[CallRecord, ...], text: str
) -> None:
    assert any(text in line for line in _find(*calls))
