"""Checks of the refusals of requests that crash engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .history import CallKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from .history import CallRecord
    from .invariants import RunRecords

QUARANTINE_CODE: Final = 'internal'
"""Code of the refusal of a request that crashes engines."""

CRASHES_BEFORE_STOP: Final = 5
"""Crashes after which a part of prompts is known to be crashing."""

STOP_WITHIN_S: Final = 3.0
"""Time from the last of these crashes until its requests are stopped."""

MAX_LATE_CRASHING: Final = 3
"""Crashing requests that may reach upstreams after that time."""

SETTLE_S: Final = 6.0
"""Time from a crash until harmless parts of its requests run again."""

MIN_HEALTHY_STREAMS: Final = 20
"""Number of harmless streams from which their refusals are counted."""


def may_be_quarantined(call: CallRecord, crashes_s: Sequence[float]) -> bool:
    """Returns whether a call may be refused as one that crashes engines.

    A harmless part that was in the same crashes as the crashing one is told
    apart only when one of them is tried again.
    """
    if call.code != QUARANTINE_CODE:
        return False
    return call.is_crashing or any(
        crash_s <= call.ended_s and call.sent_s <= crash_s + SETTLE_S
        for crash_s in crashes_s
    )


def check_healthy_streams(records: RunRecords) -> Iterator[str]:
    """Checks that most harmless streams run once crashes should be stopped."""
    crashes_s = records.crashes_s[:CRASHES_BEFORE_STOP]
    if not crashes_s:
        return
    from_s = crashes_s[-1] + SETTLE_S
    streams = [
        call
        for call in records.history.calls
        if call.kind in {CallKind.STREAM, CallKind.ONCE}
        and not call.is_crashing
        and not call.resumes
        and call.sent_s >= from_s
    ]
    refused_count = sum(call.code == QUARANTINE_CODE for call in streams)
    if len(streams) >= MIN_HEALTHY_STREAMS and 2 * refused_count > len(streams):
        yield f'{refused_count} of {len(streams)} harmless streams were refused'


def check_crashing_requests(records: RunRecords) -> Iterator[str]:
    """Checks that crashing requests are stopped after some crashes.

    Requests of a front that was disrupted shortly before don't count.
    """
    if len(records.crashes_s) < CRASHES_BEFORE_STOP:
        return
    from_s = records.crashes_s[CRASHES_BEFORE_STOP - 1] + STOP_WITHIN_S
    late_count = sum(
        _count_late_arrivals(call, records, from_s)
        for call in records.history.calls
        if call.is_crashing
    )
    if late_count > MAX_LATE_CRASHING:
        yield (
            f'{late_count} crashing requests reached upstreams later than'
            f' {STOP_WITHIN_S} s after crash {CRASHES_BEFORE_STOP};'
            f' {len(records.crashes_s)} crashes'
        )


def _count_late_arrivals(
    call: CallRecord, records: RunRecords, from_s: float
) -> int:
    """Returns how often a request arrived; its prefill isn't a second time."""

    def count(arrivals: Mapping[str, Sequence[float]]) -> int:
        return sum(
            at_s > from_s
            and not records.history.was_disrupted_before(
                call.front, at_s, STOP_WITHIN_S
            )
            for at_s in arrivals.get(call.request_id, ())
        )

    return count(records.sends) or min(1, count(records.prefills))


__all__ = (
    'check_crashing_requests',
    'check_healthy_streams',
    'may_be_quarantined',
)
