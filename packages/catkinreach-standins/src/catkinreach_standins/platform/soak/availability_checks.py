"""Checks that fronts heed engines that leave, or ask for a pause."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .history import STORE_LINK, CallEnd

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from ..upstream_availability import (
        Arrival,
        Notice,
        UpstreamAvailability,
    )
    from .history import CallRecord
    from .invariants import RunRecords

LEAVE_S: Final = 0.5
"""Time from an answer by which a front knows that an engine leaves; no request
that is sent later may reach it."""

PAUSE_START_S: Final = 0.5
MAX_PAUSE_ARRIVALS: Final = 2
"""Requests of a front that may reach an engine in the rest of a pause."""

PROMPT_S: Final = 0.2
"""Longest time to an answer that its front surely waited for."""

LINK_REACH_S: Final = 1.0
"""Time after a fault of a link in which it may deliver what it held back."""

LISTING_S: Final = 2.0
"""Time in which fronts learn that an engine has started anew."""

READ_ENDS: Final = frozenset(
    {CallEnd.ANSWERED, CallEnd.REFUSED, CallEnd.FAILED}
)
"""Ends of calls whose front read the answers of engines."""


def check_leaving(records: RunRecords) -> Iterator[str]:
    """Checks that no front sends requests to an engine that leaves.

    A request counts if its caller sent it some time after the engine had
    answered the front. A disruption of the front since then excuses it.
    """
    calls = {call.request_id: call for call in records.history.calls}
    for engine in records.availability:
        reported: set[tuple[int, int]] = set()
        for notice in _read_leave_notices(engine, records, calls):
            front = calls[notice.request_id].front
            late_ids = _late_requests(notice, engine, records, calls)
            if late_ids and (front, notice.incarnation) not in reported:
                reported.add((front, notice.incarnation))
                yield (
                    f'{engine.name} told front {front} in its answer to'
                    f' {notice.request_id} that it leaves, and got'
                    f' {len(late_ids)} requests later, first {late_ids[0]}'
                )


def check_pauses(records: RunRecords) -> Iterator[str]:
    """Checks that fronts leave engines alone that asked for a pause.

    A disruption of the front or of the link to the engine excuses it. The first
    pause of each front and engine that wasn't heeded is reported.
    """
    calls = {call.request_id: call for call in records.history.calls}
    for engine in records.availability:
        reported: set[int] = set()
        for notice in engine.notices:
            if notice.pause_s is None:
                continue
            if not _is_read(notice, engine, records, calls):
                continue
            front = calls[notice.request_id].front
            count = _count_in_pause(notice, engine, records, calls)
            if count > MAX_PAUSE_ARRIVALS and front not in reported:
                reported.add(front)
                yield (
                    f'{engine.name} asked front {front} for a pause of'
                    f' {notice.pause_s} s in its answer to'
                    f' {notice.request_id}, and got {count} requests in it'
                )


def _read_leave_notices(
    engine: UpstreamAvailability,
    records: RunRecords,
    calls: Mapping[str, CallRecord],
) -> Iterator[Notice]:
    """Yields the answers by which a front surely knows that it leaves."""
    for notice in engine.notices:
        if (
            notice.pause_s is None
            and _is_incarnation_known(notice, engine, records)
            and _is_read(notice, engine, records, calls)
        ):
            yield notice


def _late_requests(
    notice: Notice,
    engine: UpstreamAvailability,
    records: RunRecords,
    calls: Mapping[str, CallRecord],
) -> list[str]:
    """Returns the requests of the front that were sent after an answer.

    A disruption of the front in between makes it forget.
    """
    history = records.history
    front = calls[notice.request_id].front
    after_s = notice.at_s + LEAVE_S
    after_s += history.lag_within_s(notice.at_s, after_s)
    return [
        arrival.request_id
        for arrival in engine.arrivals
        if arrival.incarnation == notice.incarnation
        and _is_sent_after(arrival, calls, front, after_s)
        and not history.was_front_disrupted(front, notice.at_s, arrival.at_s)
    ]


def _count_in_pause(
    notice: Notice,
    engine: UpstreamAvailability,
    records: RunRecords,
    calls: Mapping[str, CallRecord],
) -> int:
    """Returns how many requests of the front came in the rest of a pause."""
    history = records.history
    front = calls[notice.request_id].front
    until_s = notice.at_s + (notice.pause_s or 0.0)
    if history.was_front_disrupted(front, notice.at_s, until_s):
        return 0
    if history.was_link_disrupted(engine.name, notice.at_s, until_s):
        return 0
    from_s = notice.at_s + PAUSE_START_S
    from_s += history.lag_within_s(notice.at_s, from_s)
    return sum(
        from_s < arrival.at_s < until_s
        and arrival.request_id in calls
        and calls[arrival.request_id].front == front
        for arrival in engine.arrivals
    )


def _is_read(
    notice: Notice,
    engine: UpstreamAvailability,
    records: RunRecords,
    calls: Mapping[str, CallRecord],
) -> bool:
    """Returns whether the front surely read an answer.

    The engine was prompt and whole, and neither the link nor the front nor
    the caller was disturbed.
    """
    call = calls.get(notice.request_id)
    if call is None or call.end not in READ_ENDS:
        return False
    if notice.request_id in records.faulty_ids:
        return False
    is_prompt = any(
        arrival.request_id == notice.request_id
        and arrival.incarnation == notice.incarnation
        and arrival.at_s <= notice.at_s <= arrival.at_s + PROMPT_S
        for arrival in engine.arrivals
    )
    from_s, until_s = notice.at_s - LINK_REACH_S, notice.at_s + LEAVE_S
    history = records.history
    return (
        is_prompt
        and not history.was_link_disrupted(engine.name, from_s, until_s)
        and not history.was_front_disrupted(
            call.front, notice.at_s - PROMPT_S, until_s
        )
    )


def _is_incarnation_known(
    notice: Notice, engine: UpstreamAvailability, records: RunRecords
) -> bool:
    """Returns whether the front surely knew the engine's incarnation.

    One that keeps its id is known only by its entry in the store.
    """
    started_s = engine.starts_s.get(notice.incarnation)
    if started_s is None:
        return True
    if notice.at_s < started_s + LISTING_S:
        return False
    return not records.history.was_link_disrupted(
        STORE_LINK, started_s - LISTING_S, notice.at_s
    )


def _is_sent_after(
    arrival: Arrival,
    calls: Mapping[str, CallRecord],
    front: int,
    after_s: float,
) -> bool:
    call = calls.get(arrival.request_id)
    return call is not None and call.front == front and call.sent_s > after_s


__all__ = ('check_leaving', 'check_pauses')
