"""Checks the retries of a run against the budget that all fronts share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .history import CallKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .invariants import RunRecords

WINDOW_S: Final = 10.0
RETRY_RATIO: Final = 0.2
RETRY_SLACK: Final = 58
"""With the two values above: the retry budget in the fronts' settings."""

SHIFTS_S: Final = (0.0, WINDOW_S / 2, WINDOW_S)
"""How much earlier than the retries the requests may be counted."""

SERVICES: Final = (
    frozenset({CallKind.READ, CallKind.ORDER}),
    frozenset({CallKind.STREAM, CallKind.ONCE}),
)
"""Routes of each service, which has a budget of its own."""


def check_retry_budget(records: RunRecords) -> Iterator[str]:
    """Checks the retries of each service in each window.

    Requests are those that callers sent, whether they arrived or not. They are
    counted in the window of the retries, the one before it or the one half a
    window before it, whichever has most. A second prefill is a retry.
    """
    for kinds in SERVICES:
        calls = [call for call in records.history.calls if call.kind in kinds]
        sent_s = [call.sent_s for call in calls]
        retries_s = [
            at_s
            for call in calls
            for arrivals in (records.sends, records.prefills)
            for at_s in sorted(arrivals.get(call.request_id, ()))[1:]
        ]
        yield from _find_excess(sent_s, retries_s)


def _find_excess(
    sent_s: Sequence[float], retries_s: Sequence[float]
) -> Iterator[str]:
    """Yields the first window with too many retries."""
    for until_s in sorted(retries_s):
        retry_count = _count(retries_s, until_s)
        request_count = max(
            _count(sent_s, until_s - shift_s) for shift_s in SHIFTS_S
        )
        if retry_count > RETRY_RATIO * request_count + RETRY_SLACK:
            yield (
                f'{retry_count} retries of {request_count} requests in a window'
            )
            return


def _count(times_s: Sequence[float], until_s: float) -> int:
    """Returns how many of the times are in the window that ends then."""
    return sum(until_s - WINDOW_S < at_s <= until_s for at_s in times_s)


__all__ = ('check_retry_budget',)
