"""Checks a finished run against what callers and upstreams may rely on."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..upstream import EVENT_COUNT
from .history import CallEnd, CallKind, TroubleKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from .history import CallRecord, History

DEADLINE_S: Final = 3.0
ANSWER_SLACK_S: Final = 1.0
"""Time past the deadline that an answer may take on a busy machine."""

MAX_RUNS: Final = {
    CallKind.READ: 2,
    CallKind.ORDER: 1,
    CallKind.STREAM: 2,
    CallKind.ONCE: 1,
}
NOT_RUN: Final = 'not-run'
WRONG_STATUSES: Final = frozenset({400, 401, 403, 404, 500})
"""Statuses with which a front refuses what no caller of a run sends."""

BUDGET_WINDOW_S: Final = 10.0
BUDGET_RATIO: Final = 0.2
BUDGET_SLACK: Final = 58
MAY_SILENCE: Final = (
    TroubleKind.KILLED,
    TroubleKind.PAUSED,
    TroubleKind.STOPPING,
)
"""Troubles of a front that leave its callers without an answer in time."""

EXPLAINING: Final = frozenset({'refused', 'failed', 'send-failed'})


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known after a run.

    Attributes:
        history: What callers saw and what was done to fronts.
        runs: Runs at all upstreams by request id.
        sends: Monotonic times of sends by request id, prefills left out.
        logs: Text that each front has written.
    """

    history: History
    runs: Mapping[str, int]
    sends: Mapping[str, Sequence[float]]
    logs: Mapping[int, str]


def violations(evidence: Evidence) -> list[str]:
    """Returns a line for each violation."""
    explained, faults = _read_logs(evidence.logs)
    found = [*evidence.history.violations, *faults]
    for call in evidence.history.calls:
        found += [
            f'{call.kind.value} {call.request_id} at front {call.front}: {text}'
            for text in _of_call(call, evidence, explained)
        ]
    found += _of_budget(evidence)
    return found


def _of_call(
    call: CallRecord, evidence: Evidence, explained: frozenset[str]
) -> Iterator[str]:
    history = evidence.history
    runs = evidence.runs.get(call.request_id, 0)
    if runs > MAX_RUNS[call.kind]:
        yield f'ran {runs} times'
    if call.outcome == NOT_RUN and runs:
        yield f'refused as not run ({call.code}), ran {runs} times'
    if call.end is CallEnd.REFUSED and call.status in WRONG_STATUSES:
        yield f'answered {call.status} {call.code}'
    if call.end is CallEnd.TIMED_OUT and not history.had(call, *MAY_SILENCE):
        yield 'was not answered'
    if call.end is CallEnd.BROKEN and not _may_break(call, history, runs):
        yield f'was dropped without an answer, ran {runs} times'
    if call.end is CallEnd.FAILED and not runs:
        yield f'a failure {call.status} that no upstream gave'
    yield from _of_stream(call)
    yield from _of_time(call, history)
    needs_cause = call.end in {CallEnd.REFUSED, CallEnd.CUT}
    is_gone = history.had(call, TroubleKind.KILLED, TroubleKind.STOPPING)
    if needs_cause and not is_gone and call.request_id not in explained:
        yield f'{call.end.value} {call.code}: no line of a log says why'


def _may_break(call: CallRecord, history: History, runs: int) -> bool:
    """Tells whether a connection may end without an answer.

    A process that is killed takes its requests along. One that stops, or
    wakes after its idle time-out, may close a connection on which the next
    request is on its way; that request must not have run.
    """
    if history.had(call, TroubleKind.KILLED):
        return True
    is_closing = history.had(call, TroubleKind.STOPPING, TroubleKind.PAUSED)
    return is_closing and not runs


def _of_stream(call: CallRecord) -> Iterator[str]:
    if call.kind not in {CallKind.STREAM, CallKind.ONCE}:
        return
    count = len(call.events)
    if call.events != tuple(range(1, count + 1)):
        yield f'events {call.events}'
    if call.has_torn_event:
        yield f'event after {count} is torn'
    if call.end is CallEnd.ANSWERED and count != EVENT_COUNT:
        yield f'a false end after {count} events'


def _of_time(call: CallRecord, history: History) -> Iterator[str]:
    """Checks answers that come whole; streams may go on past a deadline."""
    is_plain = call.kind in {CallKind.READ, CallKind.ORDER}
    is_whole = call.end is CallEnd.REFUSED or (
        is_plain and call.end is CallEnd.ANSWERED
    )
    took_s = call.ended_s - call.sent_s
    if not is_whole or took_s <= DEADLINE_S + ANSWER_SLACK_S:
        return
    if not history.had(call, TroubleKind.PAUSED):
        yield f'{call.end.value} {call.code} after {took_s:.1f} s'


def _of_budget(evidence: Evidence) -> Iterator[str]:
    """Checks repeated sends in each window against the shared budget."""
    firsts: list[float] = []
    repeats: list[float] = []
    for sends in evidence.sends.values():
        first, *others = sorted(sends)
        firsts.append(first)
        repeats += others
    for until_s in repeats:
        from_s = until_s - BUDGET_WINDOW_S
        used = sum(from_s < one <= until_s for one in repeats)
        base = sum(from_s < one <= until_s for one in firsts)
        if used > BUDGET_RATIO * base + BUDGET_SLACK:
            yield f'{used} repeats beside {base} requests in a window'
            return


def _read_logs(
    logs: Mapping[int, str],
) -> tuple[frozenset[str], list[str]]:
    """Returns ids whose end is explained, and faulty lines."""
    explained: set[str] = set()
    faults: list[str] = []
    for front, text in logs.items():
        for line in text.splitlines():
            try:
                document = json.loads(line)
            except ValueError:
                faults.append(f'front {front} wrote: {line[:200]}')
                continue
            if document.get('event') in EXPLAINING:
                explained.add(document.get('request', ''))
            elif _is_fault(document):
                faults.append(f'front {front} wrote: {line[:300]}')
    return frozenset(explained), faults


def _is_fault(document: Mapping[str, object]) -> bool:
    return document.get('event') == 'internal-error' or (
        document.get('level') in {'error', 'critical'}
    )


__all__ = ('Evidence', 'violations')
