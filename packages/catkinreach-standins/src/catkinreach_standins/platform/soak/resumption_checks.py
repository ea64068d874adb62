"""Checks of streams over all calls by which their callers took them up."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .history import CallKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .history import CallRecord
    from .invariants import RunRecords


def check_resumptions(records: RunRecords) -> Iterator[str]:
    """Checks that streams hold each event once, and those of one version."""
    calls_by_origin: defaultdict[str, list[CallRecord]] = defaultdict(list)
    for call in records.history.calls:
        if call.kind in {CallKind.STREAM, CallKind.ONCE}:
            calls_by_origin[call.origin].append(call)
    for origin, calls in calls_by_origin.items():
        for text in _check_stream(calls):
            ids = ', '.join(call.request_id for call in calls)
            yield f'stream {origin} over calls {ids}: {text}'


def _check_stream(calls: list[CallRecord]) -> Iterator[str]:
    versions = frozenset[str]().union(*(call.versions for call in calls))
    if len(versions) > 1:
        yield f'holds events of versions {sorted(versions)}'
    event_ids = [event_id for call in calls for event_id in call.event_ids]
    if event_ids != list(range(1, len(event_ids) + 1)):
        yield f'event ids are {event_ids}'


__all__ = ('check_resumptions',)
