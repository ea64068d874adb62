"""Writes what happened outside of the fronts beside their logs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from .history import CallEnd

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from .history import History
    from .invariants import RunRecords


def write_timeline(file: Path, records: RunRecords) -> None:
    """Writes disruptions, crashes and unanswered calls, in order.

    Each is a line with ``time`` in Unix seconds, as in the fronts' logs.
    """
    unix_offset_s = time.time() - time.monotonic()
    entries = sorted(_entries(records), key=lambda entry: entry[0])
    lines = (
        {'event': event, **members, 'time': round(at_s + unix_offset_s, 4)}
        for at_s, event, members in entries
    )
    file.write_bytes(
        b''.join(msgspec.json.encode(line) + b'\n' for line in lines)
    )


def _entries(
    records: RunRecords,
) -> Iterator[tuple[float, str, dict[str, object]]]:
    history = records.history
    for front in history.disruptions:
        lasted_s = round(front.until_s - front.from_s, 4)
        yield (
            front.from_s,
            front.kind.value,
            {'front': front.front, 'lasted_s': lasted_s},
        )
    for link in history.link_disruptions:
        lasted_s = round(link.until_s - link.from_s, 4)
        yield link.from_s, 'link', {'link': link.link, 'lasted_s': lasted_s}
    for at_s, limit_s in history.idle_limits:
        if at_s:
            yield at_s, 'idle-limit', {'limit_s': limit_s}
    for at_s, lag_s in history.lags:
        yield at_s, 'soak-held-up', {'lasted_s': round(lag_s, 4)}
    for at_s in records.crashes_s:
        yield at_s, 'crash', {}
    yield from _call_entries(history)


def _call_entries(
    history: History,
) -> Iterator[tuple[float, str, dict[str, object]]]:
    for call in history.calls:
        if call.end is CallEnd.ANSWERED:
            continue
        yield (
            call.sent_s,
            call.end.value,
            {
                'request': call.request_id,
                'front': call.front,
                'build': call.build.name,
                'status': call.status,
                'prefix': call.prefix,
                'lasted_s': round(call.ended_s - call.sent_s, 4),
                'idle_s': round(call.idle_s, 4),
            },
        )


__all__ = ('write_timeline',)
