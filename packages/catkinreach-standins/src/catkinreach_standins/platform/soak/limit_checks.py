"""Checks that fronts heed the limits that engines name."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from ..upstream_availability import LimitNotice, UpstreamAvailability
    from .history import CallRecord, History
    from .invariants import RunRecords

STABLE_WINDOW_S: Final = 3.0
"""Time from the first answer with a limit after which it holds."""

TOLD_S: Final = 0.5
"""Time from such an answer after which its front must heed the limit."""

WINDOW_S: Final = 4.0
EXCESS_RATIO: Final = 1.5
SLACK_REQUESTS: Final = 5.0
"""With the values above: most requests that an engine gets in some window are
the ratio of what its limit allows, and these."""


def check_limits(records: RunRecords) -> Iterator[str]:
    """Checks that no engine gets far more requests than it named.

    Counted are requests of fronts that it had told, without a disruption of
    them since. Its first limit that was exceeded is reported.
    """
    calls = {call.request_id: call for call in records.history.calls}
    for engine in records.availability:
        for notices in _limits(engine.limit_notices):
            excess = _find_excess(engine, notices, calls, records.history)
            if excess:
                yield excess
                break


def _limits(notices: Sequence[LimitNotice]) -> Iterator[list[LimitNotice]]:
    """Yields the answers of each limit in turn."""
    by_limit = groupby(notices, lambda one: (one.incarnation, one.per_s))
    for _, group in by_limit:
        yield list(group)


def _find_excess(
    engine: UpstreamAvailability,
    notices: Sequence[LimitNotice],
    calls: Mapping[str, CallRecord],
    history: History,
) -> str | None:
    """Returns a description of the first window with too many requests."""
    per_s = notices[0].per_s
    allowed = EXCESS_RATIO * per_s * WINDOW_S + SLACK_REQUESTS
    from_s = notices[0].at_s + STABLE_WINDOW_S
    times_s = [
        at_s
        for at_s in _told_arrivals(engine, notices, calls, history)
        if from_s <= at_s <= notices[-1].at_s
    ]
    for number, start_s in enumerate(times_s):
        count = sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
        if count > allowed:
            return (
                f'{engine.name} named a limit of {per_s} requests a second and'
                f' got {count} in {WINDOW_S} s from fronts that it had told,'
                f' from the {number + 1}th on; allowed {allowed}'
            )
    return None


def _told_arrivals(
    engine: UpstreamAvailability,
    notices: Sequence[LimitNotice],
    calls: Mapping[str, CallRecord],
    history: History,
) -> Iterator[float]:
    """Yields the times of requests from fronts that surely knew the limit."""
    told_s: dict[int, float] = {}
    for notice in notices:
        call = calls.get(notice.request_id)
        if call is not None and call.status:
            told_s.setdefault(call.front, notice.at_s)
    for arrival in engine.arrivals:
        call = calls.get(arrival.request_id)
        if call is None or arrival.incarnation != notices[0].incarnation:
            continue
        since_s = told_s.get(call.front)
        if since_s is None or arrival.at_s < since_s + TOLD_S:
            continue
        if not history.was_front_disrupted(call.front, since_s, arrival.at_s):
            yield arrival.at_s


__all__ = ('check_limits',)
