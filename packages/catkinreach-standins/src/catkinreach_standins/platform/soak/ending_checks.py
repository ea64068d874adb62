"""Checks that a front's log names each request without a whole response."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Final

import msgspec

from ..builds import ROOT
from .history import CallEnd

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .history import CallRecord
    from .invariants import RunRecords

ENDING_EVENTS: Final = frozenset({'failed', 'unanswered'})
"""Log events that name a request whose response isn't whole."""

WRITE_S: Final = 0.3
"""Time from the end of a connection in which its line is written."""


class _Line(msgspec.Struct):
    """Members of a log line; ``count`` has the dropped lines by event."""

    event: str = ''
    request: str | None = None
    count: object = None


def check_endings(records: RunRecords) -> Iterator[str]:
    """Checks the log line of each call that got no whole response.

    A call without any response counts only if its front surely read it: the
    log names it, or an upstream ran it. Fronts whose log dropped such lines
    aren't checked.
    """
    run_ids = {name for name, runs in records.runs.items() if runs}
    for front, text in records.logs.items():
        lines = list(_read_lines(text))
        if any(_has_dropped_endings(line) for line in lines):
            continue
        read_ids = run_ids.union(line.request or '' for line in lines)
        ended_ids = {one.request for one in lines if one.event in ENDING_EVENTS}
        for call in records.history.calls:
            is_read = call.end is CallEnd.INCOMPLETE or (
                call.end is CallEnd.NO_RESPONSE and call.request_id in read_ids
            )
            is_missing = is_read and call.request_id not in ended_ids
            if call.front == front and is_missing and _is_due(call, records):
                name = f'{call.kind.value} {call.request_id} at front {front}'
                yield f'{name}: {call.end.value}, no log line of its end'


def _is_due(call: CallRecord, records: RunRecords) -> bool:
    """Returns whether this build served a call, and wasn't disrupted."""
    return call.build == ROOT and not records.history.was_front_disrupted(
        call.front, call.sent_s, call.ended_s + WRITE_S
    )


def _has_dropped_endings(line: _Line) -> bool:
    dropped = line.count if isinstance(line.count, dict) else {}
    return not ENDING_EVENTS.isdisjoint(dropped)


def _read_lines(text: str) -> Iterator[_Line]:
    for line in text.splitlines():
        with suppress(msgspec.DecodeError):
            yield msgspec.json.decode(line, type=_Line)


__all__ = ('check_endings',)
