"""The check of the retry budget finds retries beyond it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from catkinreach_standins.platform.soak.example_calls import READ, STREAM
from catkinreach_standins.platform.soak.history import History
from catkinreach_standins.platform.soak.invariants import (
    RunRecords,
    find_violations,
)


@pytest.mark.parametrize(
    ('retry_count', 'earlier_count', 'is_prefill', 'is_found'),
    [
        (74, 0, False, False),
        (75, 0, False, True),
        (75, 0, True, True),
        (75, 85, False, False),
        (76, 85, False, True),
    ],
)
def test_retries_over_the_budget_are_found(
    retry_count: int, earlier_count: int, *, is_prefill: bool, is_found: bool
) -> None:
    # 80 requests beside the retries, and others half a window before.
    calls = [
        replace(STREAM, request_id=f'r{number}', sent_s=20.0)
        for number in range(80)
    ]
    calls += [
        replace(STREAM, request_id=f'e{number}', sent_s=8.0)
        for number in range(earlier_count)
    ]
    other_service = [
        replace(READ, request_id=f'o{number}', sent_s=20.0)
        for number in range(500)
    ]
    arrivals = {f'r{number}': (20.0, 21.0) for number in range(retry_count)}
    records = RunRecords(
        history=History(calls=[*calls, *other_service]),
        runs={},
        sends={} if is_prefill else arrivals,
        logs={},
        prefills=arrivals if is_prefill else {},
    )
    found = [text for text in find_violations(records) if 'retries' in text]
    assert bool(found) is is_found
