"""Groups log lines by request and adds the state of the node at that time.

The state is what the log has reported so far: the accepted configuration,
whether the store connection is lost, and the health of each upstream.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .lines import LogLine

END_EVENTS: Final = frozenset(
    {'answered', 'caller-left', 'failed', 'refused', 'unanswered'}
)
_UPSTREAM_EVENTS: Final = frozenset(
    {
        'upstream-down',
        'upstream-gone',
        'upstream-known',
        'upstream-leaving',
        'upstream-paused',
        'upstream-up',
    }
)


@dataclass(slots=True)
class RequestHistory:
    """Log lines of one request in one process, with the process's state.

    Attributes:
        request: Id of the request.
        source: Name of the process's log file.
        lines: Log lines of the request, in the order of the log.
        catalog: Line of the last configuration accepted before the request
            ended.
        store_lost: Line that reported the loss of the store connection, if it
            was still lost when the request ended.
        upstreams: For each upstream that the lines name, the last line on its
            health, or on whether it takes requests, before the request ended.
    """

    request: str
    source: str
    lines: list[LogLine] = field(default_factory=list)
    catalog: LogLine | None = None
    store_lost: LogLine | None = None
    upstreams: dict[str, LogLine] = field(default_factory=dict)

    @property
    def end(self) -> LogLine | None:
        """Returns the line that ends the request, ``None`` if it is missing."""
        return next(
            (line for line in reversed(self.lines) if line.event in END_EVENTS),
            None,
        )

    @property
    def failed_sends(self) -> list[LogLine]:
        """Returns the lines of failed sends to upstreams."""
        return [line for line in self.lines if line.event == 'send-failed']

    @property
    def unavailable(self) -> LogLine | None:
        """Returns the line by which no upstream took requests, if any."""
        return next(
            (
                line
                for line in self.lines
                if line.event == 'service-unavailable'
            ),
            None,
        )

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Returns the ids of the upstreams that the lines name."""
        field_names = ('decode', 'prefill', 'upstream')
        upstream_ids = {
            line.text(field_name)
            for line in self.lines
            for field_name in field_names
        }
        return frozenset(upstream_ids - {''})


@dataclass(slots=True)
class _NodeState:
    """State of one process as of the last log line read."""

    catalog: LogLine | None = None
    store_lost: LogLine | None = None
    upstreams: dict[str, LogLine] = field(default_factory=dict)

    def apply_line(self, line: LogLine) -> None:
        """Updates the state if the line reports a change of it."""
        is_store = line.text('dependency') == 'store'
        if line.event == 'catalog-accepted':
            self.catalog = line
        elif line.event == 'dependency-lost' and is_store:
            self.store_lost = self.store_lost or line
        elif line.event == 'dependency-back' and is_store:
            self.store_lost = None
        elif line.event in _UPSTREAM_EVENTS:
            self.upstreams[line.text('upstream')] = line

    def copy_to(self, history: RequestHistory) -> None:
        """Copies the current state into a history."""
        history.catalog = self.catalog
        history.store_lost = self.store_lost
        for upstream_id in history.upstream_ids:
            last_line = self.upstreams.get(upstream_id)
            if last_line is not None:
                history.upstreams[upstream_id] = last_line


def build_histories(
    lines: Iterable[LogLine], request: str | None = None
) -> list[RequestHistory]:
    """Returns the histories of one or all requests, ordered by start time.

    Args:
        lines: Lines of any number of sources; those of one source are in the
            order of its log.
        request: Id of the request, ``None`` for all requests.
    """
    states: dict[str, _NodeState] = {}
    histories: dict[tuple[str, str], RequestHistory] = {}
    for line in lines:
        if line.event == 'start':
            states.pop(line.source, None)
        state = states.setdefault(line.source, _NodeState())
        state.apply_line(line)
        if not line.request or request not in {None, line.request}:
            continue
        history_key = (line.source, line.request)
        history = histories.setdefault(
            history_key, RequestHistory(line.request, line.source)
        )
        history.lines.append(line)
        state.copy_to(history)
    return sorted(histories.values(), key=lambda entry: entry.lines[0].time_s)


__all__ = ('END_EVENTS', 'RequestHistory', 'build_histories')
