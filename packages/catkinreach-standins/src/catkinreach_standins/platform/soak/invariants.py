"""Checks the records of a run against the guarantees of the gateway."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..upstream import EVENT_COUNT
from .availability_checks import check_leaving, check_pauses
from .ending_checks import check_endings
from .history import CallEnd, CallKind, DisruptionKind
from .limit_checks import check_limits
from .quarantine_checks import (
    check_crashing_requests,
    check_healthy_streams,
    may_be_quarantined,
)
from .retry_budget import check_retry_budget

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping, Sequence

    from ..upstream_availability import UpstreamAvailability
    from .history import CallRecord, History

DEADLINE_S: Final = 3.0
"""Deadline that callers send with each request."""

DEADLINE_MARGIN_S: Final = 0.02
"""Time before the deadline at which a front ends a request."""

ANSWER_SLACK_S: Final = 1.0
"""Time past the deadline by which a response may be late under load."""

MAX_UPSTREAMS: Final = {
    CallKind.READ: 2,
    CallKind.ORDER: 1,
    CallKind.STREAM: 2,
    CallKind.ONCE: 1,
}
"""Upstreams that may run a call: ``max-attempts`` of its route."""

MAX_RUNS: Final = {
    CallKind.READ: 3,
    CallKind.ORDER: 1,
    CallKind.STREAM: 3,
    CallKind.ONCE: 1,
}
"""Executions that a call may have: one upstream that was silent may get it once
more."""

NOT_RUN: Final = 'not-run'
UNJUSTIFIED_STATUSES: Final = frozenset({400, 401, 403, 404, 500})
"""Statuses of refusals for which the callers give no cause."""

FAILURE_STATUSES: Final = frozenset({502, 504})
"""Statuses of refusals that may only follow a fault of an upstream."""

PROMISE_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses by which a request that must not be repeated hasn't run."""

EXCUSING_DISRUPTIONS: Final = (
    DisruptionKind.KILLED,
    DisruptionKind.PAUSED,
    DisruptionKind.STOPPING,
)
"""Disruptions of a front that excuse a call without a response in time."""

EXPLAINING_EVENTS: Final = frozenset({'refused', 'failed', 'send-failed'})
"""Log events that give the cause of a refused or incomplete call."""


@dataclass(frozen=True, slots=True)
class RunRecords:
    """Records of a finished run.

    Attributes:
        history: Calls and disruptions.
        runs: Executions at all upstreams by request id.
        sends: Monotonic times at which upstreams received a request, by its
            id; prefills are excluded.
        logs: Output of each front by its number.
        prefills: Like ``sends``, of prefills.
        upstreams_by_id: Ids of the upstreams that ran a request, by its id.
        faulty_ids: Ids of requests to which an upstream's own response was
            faulty.
        crashes_s: Monotonic times of crashes, in order.
        availability: What each upstream said of itself, and what it received.
    """

    history: History
    runs: Mapping[str, int]
    sends: Mapping[str, Sequence[float]]
    logs: Mapping[int, str]
    prefills: Mapping[str, Sequence[float]] = field(default_factory=dict)
    upstreams_by_id: Mapping[str, Collection[str]] = field(default_factory=dict)
    faulty_ids: frozenset[str] = frozenset()
    crashes_s: Sequence[float] = ()
    availability: Sequence[UpstreamAvailability] = ()


def find_violations(records: RunRecords) -> list[str]:
    """Returns a description of each violation."""
    explained_ids, faulty_lines = _read_logs(records.logs)
    found = [*records.history.violations, *faulty_lines]
    for call in records.history.calls:
        found += [
            f'{call.kind.value} {call.request_id} at front {call.front}: {text}'
            for text in _check_call(call, records, explained_ids)
        ]
    found += check_retry_budget(records)
    found += check_crashing_requests(records)
    found += check_healthy_streams(records)
    found += check_leaving(records)
    found += check_pauses(records)
    found += check_limits(records)
    found += check_endings(records)
    return found


def _check_runs(call: CallRecord, records: RunRecords) -> Iterator[str]:
    """Checks how often, and at how many upstreams, a call ran."""
    runs = records.runs.get(call.request_id, 0)
    if runs > MAX_RUNS[call.kind]:
        yield f'ran {runs} times'
    upstreams = records.upstreams_by_id.get(call.request_id, ())
    if len(upstreams) > MAX_UPSTREAMS[call.kind]:
        yield f'ran at {len(upstreams)} upstreams'


def _check_call(
    call: CallRecord, records: RunRecords, explained_ids: frozenset[str]
) -> Iterator[str]:
    history = records.history
    runs = records.runs.get(call.request_id, 0)
    yield from _check_runs(call, records)
    if call.outcome == NOT_RUN and runs:
        yield f'refused as not run ({call.code}), ran {runs} times'
    if (
        call.end is CallEnd.REFUSED
        and call.status in UNJUSTIFIED_STATUSES
        and not may_be_quarantined(call, records.crashes_s)
    ):
        yield f'wrongly refused with {call.status} {call.code}'
    if call.end is CallEnd.TIMED_OUT and not history.was_disrupted(
        call, *EXCUSING_DISRUPTIONS
    ):
        yield 'got no response in time'
    if call.end is CallEnd.NO_RESPONSE and not _may_disconnect(
        call, history, runs
    ):
        yield f'connection closed without a response, ran {runs} times'
    if call.end is CallEnd.FAILED and not runs:
        yield f'failed with {call.status}, but no upstream ran it'
    yield from _check_promise(call, runs)
    yield from _check_body(call, records)
    yield from _check_stream(call)
    yield from _check_healthy_stream(call, records)
    yield from _check_deadline(call, history)
    needs_cause = call.end in {CallEnd.REFUSED, CallEnd.INCOMPLETE}
    is_disrupted = history.was_disrupted(
        call, DisruptionKind.KILLED, DisruptionKind.STOPPING
    )
    if (
        needs_cause
        and not is_disrupted
        and call.request_id not in explained_ids
    ):
        yield f'{call.end.value} {call.code}: no log line explains it'


def _may_disconnect(call: CallRecord, history: History, runs: int) -> bool:
    """Returns whether the connection may end without a response.

    A killed process loses its requests. A process that stops, or whose idle
    timeout elapses while it is paused, may close a connection while the next
    request is on its way; that request must not have run. The same holds for a
    connection that was idle for too long.
    """
    if history.was_disrupted(call, DisruptionKind.KILLED):
        return True
    is_closing = history.was_disrupted(
        call, DisruptionKind.STOPPING, DisruptionKind.PAUSED
    )
    return (is_closing or history.was_idle_too_long(call)) and not runs


def _check_promise(call: CallRecord, runs: int) -> Iterator[str]:
    """Checks that no status promises not-run for what ran."""
    may_repeat = call.kind in {CallKind.READ, CallKind.STREAM}
    if runs and not may_repeat and call.status in PROMISE_STATUSES:
        yield f'{call.end.value} with {call.status}, ran {runs} times'


def _check_body(call: CallRecord, records: RunRecords) -> Iterator[str]:
    """Checks that the body is whole and comes from an upstream that ran it."""
    if call.kind in {CallKind.STREAM, CallKind.ONCE}:
        if call.body:
            yield f'stream holds bytes of no event: {call.body[:100]!r}'
        return
    upstreams = records.upstreams_by_id.get(call.request_id, ())
    bodies = {f'{name} ran {call.request_id}'.encode() for name in upstreams}
    if call.end is CallEnd.ANSWERED and call.body not in bodies:
        yield f'answered with the body {call.body[:100]!r}'


def _check_healthy_stream(
    call: CallRecord, records: RunRecords
) -> Iterator[str]:
    """Checks that a stream isn't ended early if its engines were healthy.

    A fault of a link to these engines, a disruption of the front and the
    deadline excuse it.
    """
    is_stream = call.kind in {CallKind.STREAM, CallKind.ONCE}
    is_ended_early = call.end is CallEnd.INCOMPLETE or (
        call.end is CallEnd.REFUSED and call.status in FAILURE_STATUSES
    )
    upstreams = records.upstreams_by_id.get(call.request_id, ())
    if not (is_stream and is_ended_early and upstreams):
        return
    is_excused = (
        call.request_id in records.faulty_ids
        or call.ended_s - call.sent_s >= DEADLINE_S - DEADLINE_MARGIN_S
        or records.history.was_disrupted(call, *EXCUSING_DISRUPTIONS)
        or records.history.was_link_faulty(call, upstreams)
    )
    if not is_excused:
        duration_s = call.ended_s - call.sent_s
        yield (
            f'{call.end.value} {call.code} after {duration_s:.1f} s and'
            f' {len(call.event_ids)} events of healthy engines'
        )


def _check_stream(call: CallRecord) -> Iterator[str]:
    if call.kind not in {CallKind.STREAM, CallKind.ONCE}:
        return
    count = len(call.event_ids)
    if call.event_ids != tuple(range(1, count + 1)):
        yield f'event ids are {call.event_ids}'
    if call.has_partial_event:
        yield f'stream ended within the event after {count}'
    if call.end is CallEnd.ANSWERED and count != EVENT_COUNT:
        yield f'stream ended as complete after {count} events'


def _check_deadline(call: CallRecord, history: History) -> Iterator[str]:
    """Checks that responses meet the deadline; streams may last longer."""
    is_plain = call.kind in {CallKind.READ, CallKind.ORDER}
    is_whole = call.end is CallEnd.REFUSED or (
        is_plain and call.end is CallEnd.ANSWERED
    )
    duration_s = history.duration_s(call)
    if not is_whole or duration_s <= DEADLINE_S + ANSWER_SLACK_S:
        return
    if not history.was_disrupted(call, DisruptionKind.PAUSED):
        yield f'{call.end.value} {call.code} after {duration_s:.1f} s'


def _read_logs(
    logs: Mapping[int, str],
) -> tuple[frozenset[str], list[str]]:
    """Returns ids of requests whose end a log explains, and faulty lines.

    A line is faulty if it isn't JSON or reports an error of the process.
    """
    explained_ids: set[str] = set()
    faulty_lines: list[str] = []
    for front, text in logs.items():
        for line in text.splitlines():
            try:
                document = json.loads(line)
            except ValueError:
                faulty_lines.append(f'front {front} wrote: {line[:200]}')
                continue
            if document.get('event') in EXPLAINING_EVENTS:
                explained_ids.add(document.get('request', ''))
            elif _is_error(document):
                faulty_lines.append(f'front {front} wrote: {line[:300]}')
    return frozenset(explained_ids), faulty_lines


def _is_error(document: Mapping[str, object]) -> bool:
    return document.get('event') == 'internal-error' or (
        document.get('level') in {'error', 'critical'}
    )


__all__ = ('RunRecords', 'find_violations')
