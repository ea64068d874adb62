"""The check of limits that engines name finds each violation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from catkinreach_standins.platform.soak.example_calls import READ
from catkinreach_standins.platform.soak.history import (
    Disruption,
    DisruptionKind,
    History,
)
from catkinreach_standins.platform.soak.invariants import RunRecords
from catkinreach_standins.platform.soak.limit_checks import (
    STABLE_WINDOW_S,
    check_limits,
)
from catkinreach_standins.platform.upstream_availability import (
    Arrival,
    LimitNotice,
    UpstreamAvailability,
)

PER_S = 1.0
ALLOWED = 11
"""Requests in 4 s: one and a half times the limit, and 5."""

HOLDS_S = 10.0 + STABLE_WINDOW_S


def _find(count: int, from_s: float, history: History | None = None) -> int:
    """Returns the number of violations of a front that was told at 10 s.

    Args:
        count: Requests of the front in the 2 s after ``from_s``.
        from_s: Start of these.
        history: Disruptions; ``None`` for none.
    """
    history = history or History()
    engine = UpstreamAvailability('a')
    for at_s in (10.0, 30.0):
        engine.limit_notices.append(LimitNotice(at_s, f't{at_s}', 0, PER_S))
        history.calls.append(replace(READ, request_id=f't{at_s}', front=1))
    for number in range(count):
        at_s = from_s + 2.0 * number / count
        engine.arrivals.append(Arrival(at_s, f'r{number}', 0))
        history.calls.append(replace(READ, request_id=f'r{number}', front=1))
    records = RunRecords(
        history=history, runs={}, sends={}, logs={}, availability=[engine]
    )
    return len(list(check_limits(records)))


@pytest.mark.parametrize(
    ('count', 'from_s', 'violations'),
    [
        (ALLOWED, HOLDS_S, 0),
        (ALLOWED + 1, HOLDS_S, 1),
        (ALLOWED + 1, 10.1, 0),
        (ALLOWED + 1, 31.0, 0),
    ],
)
def test_requests_beyond_a_limit_are_found(
    count: int, from_s: float, violations: int
) -> None:
    assert _find(count, from_s) == violations


def test_front_that_was_restarted_is_excused() -> None:
    disruption = Disruption(1, DisruptionKind.KILLED, 11.0, 12.0)
    history = History(disruptions=[disruption])
    assert _find(ALLOWED + 1, HOLDS_S, history) == 0
