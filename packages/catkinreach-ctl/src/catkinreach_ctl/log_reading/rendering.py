"""Formats request histories as text for on-call engineers."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Final

from .cause import Cause, cause_of

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .lines import LogLine
    from .request_history import RequestHistory

_OMITTED_FIELDS: Final = frozenset(
    {'event', 'time', 'request', 'reason', 'detail'}
)
_EVENT_TEXTS: Final = {
    'gave-way': 'left an engine that others had filled',
    'reply-skipped': "passed over a reply that wasn't its own",
    'placed': 'was placed',
    'send-failed': 'a send failed',
    'relay-failed': "a peer couldn't pass it on",
    'stream-version': 'resumes a stream of a software version',
    'resumed': 'went on at another upstream',
    'silent-kept': 'stayed with an engine that was silent',
    'failed': 'ended early',
    'refused': 'was refused',
    'answered': 'was answered',
    'caller-left': 'its caller left',
    'unanswered': 'got no whole response',
    'upstream-leaving': 'was told that an upstream leaves',
    'upstream-paused': 'was told that an upstream wants a pause',
    'service-unavailable': 'found only upstreams that take no requests',
    'crash-suspect': 'is suspected of crashing upstreams',
}
MAX_EXAMPLES: Final = 3
"""Request ids that the summary lists for each cause."""


def render_history(history: RequestHistory) -> list[str]:
    """Returns the text lines of a history; the last one gives the cause."""
    start_s = history.lines[0].time_s
    lines = [f'request {history.request}, log {history.source}']
    lines += [
        f'  {_format_time(line, start_s)} {_describe_event(line)}'
        for line in history.lines
    ]
    lines.append('  what the node believed at the end:')
    lines += [f'    {text}' for text in _node_state_lines(history)]
    lines.append(f'  cause: {cause_of(history).value}')
    return lines


def summarize_causes(histories: Sequence[RequestHistory]) -> list[str]:
    """Returns the count of served requests and of each other cause.

    The most frequent cause comes first.
    """
    counts: Counter[Cause] = Counter()
    examples: dict[Cause, list[str]] = {}
    for history in histories:
        cause = cause_of(history)
        counts[cause] += 1
        examples.setdefault(cause, []).append(history.request)
    served = counts.pop(Cause.SERVED, 0)
    lines = [f'{served} served, {counts.total()} others']
    for cause, count in counts.most_common():
        example_ids = ', '.join(examples[cause][:MAX_EXAMPLES])
        lines.append(f'{count:7d}  {cause.value} (for example {example_ids})')
    return lines


def _format_time(line: LogLine, start_s: float) -> str:
    clock_time = datetime.fromtimestamp(line.time_s, UTC).strftime(
        '%H:%M:%S.%f'
    )
    return f'{clock_time[:-3]} (+{line.time_s - start_s:.3f} s)'


def _describe_event(line: LogLine) -> str:
    event_text = _EVENT_TEXTS.get(line.event, line.event)
    explanation = ': '.join(
        line.text(name) for name in ('reason', 'detail') if line.text(name)
    )
    other_fields = ', '.join(
        f'{name} {text}'
        for name, text in line.fields.items()
        if name not in _OMITTED_FIELDS and text is not None
    )
    parts = [
        event_text,
        f' ({explanation})' if explanation else '',
        f'; {other_fields}' if other_fields else '',
    ]
    return ''.join(parts)


def _node_state_lines(history: RequestHistory) -> Iterator[str]:
    end_s = history.lines[-1].time_s
    if history.catalog is None:
        yield 'no configuration was accepted in this log'
    else:
        age_s = end_s - history.catalog.time_s
        version = history.catalog.text('version')
        yield f'configuration {version}, accepted {age_s:.1f} s before'
    lost = history.store_lost
    if lost is not None:
        age_s = end_s - lost.time_s
        yield f'store lost for {age_s:.1f} s ({lost.text("reason")})'
    for upstream_id, line in sorted(history.upstreams.items()):
        age_s = end_s - line.time_s
        state = ' '.join(
            line.text(name) for name in ('state', 'stage', 'reason', 'pause_s')
        ).strip()
        yield f'{upstream_id}: {line.event} {state}, {age_s:.1f} s before'


__all__ = ('render_history', 'summarize_causes')
