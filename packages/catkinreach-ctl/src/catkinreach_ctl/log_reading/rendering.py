"""Puts a history into plain lines for on-call engineers."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Final

from .cause import Cause, cause_of

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .lines import LogLine
    from .request_history import RequestHistory

_HIDDEN: Final = frozenset({'event', 'time', 'request', 'reason', 'detail'})
_SENTENCES: Final = {
    'gave-way': 'left an engine that others had filled',
    'reply-skipped': "passed over a reply that wasn't its own",
    'placed': 'was placed',
    'send-failed': 'a send failed',
    'resumed': 'went on at another upstream',
    'failed': 'ended early',
    'refused': 'was refused',
    'answered': 'was answered',
    'caller-left': 'its caller left',
    'crash-suspect': 'is suspected of crashing upstreams',
}
MAX_EXAMPLES: Final = 3
"""Ids that the summary names for each cause."""


def render(history: RequestHistory) -> list[str]:
    """Returns the lines that tell one history, its cause last."""
    began_s = history.lines[0].time_s
    lines = [f'request {history.request}, log {history.source}']
    lines += [
        f'  {_moment(line, began_s)} {_say(line)}' for line in history.lines
    ]
    lines.append('  what the node believed at the end:')
    lines += [f'    {text}' for text in _beliefs(history)]
    lines.append(f'  cause: {cause_of(history).value}')
    return lines


def summarize(histories: Sequence[RequestHistory]) -> list[str]:
    """Returns a line for each cause of a failure, the most frequent first."""
    counts: Counter[Cause] = Counter()
    examples: dict[Cause, list[str]] = {}
    for history in histories:
        cause = cause_of(history)
        counts[cause] += 1
        examples.setdefault(cause, []).append(history.request)
    served = counts.pop(Cause.SERVED, 0)
    lines = [f'{served} served, {counts.total()} others']
    for cause, count in counts.most_common():
        some = ', '.join(examples[cause][:MAX_EXAMPLES])
        lines.append(f'{count:7d}  {cause.value} (for example {some})')
    return lines


def _moment(line: LogLine, began_s: float) -> str:
    moment = datetime.fromtimestamp(line.time_s, UTC).strftime('%H:%M:%S.%f')
    return f'{moment[:-3]} (+{line.time_s - began_s:.3f} s)'


def _say(line: LogLine) -> str:
    said = _SENTENCES.get(line.event, line.event)
    why = ': '.join(
        line.text(name) for name in ('reason', 'detail') if line.text(name)
    )
    inputs = ', '.join(
        f'{name} {text}'
        for name, text in line.fields.items()
        if name not in _HIDDEN and text is not None
    )
    parts = [said, f' ({why})' if why else '', f'; {inputs}' if inputs else '']
    return ''.join(parts)


def _beliefs(history: RequestHistory) -> Iterator[str]:
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
            line.text(name) for name in ('state', 'stage', 'reason')
        ).strip()
        yield f'{upstream_id}: {line.event} {state}, {age_s:.1f} s before'


__all__ = ('render', 'summarize')
