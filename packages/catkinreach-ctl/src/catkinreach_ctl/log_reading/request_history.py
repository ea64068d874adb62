"""Gathers the lines of requests, and what their nodes believed then."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .lines import LogLine

ENDS: Final = frozenset({'answered', 'caller-left', 'failed', 'refused'})
_UPSTREAM_EVENTS: Final = frozenset(
    {'upstream-down', 'upstream-gone', 'upstream-known', 'upstream-up'}
)


@dataclass(slots=True)
class RequestHistory:
    """One request at one process.

    Attributes:
        request: Its id.
        source: File of the process's log.
        lines: The lines that touch it, in order.
        catalog: The configuration that was accepted last before its end.
        store_lost: The loss of the store, if it was lost at the end.
        upstreams: Last line on each upstream of the history before the end.
    """

    request: str
    source: str
    lines: list[LogLine] = field(default_factory=list)
    catalog: LogLine | None = None
    store_lost: LogLine | None = None
    upstreams: dict[str, LogLine] = field(default_factory=dict)

    @property
    def end(self) -> LogLine | None:
        """Returns the line that ends the request, if it stands."""
        return next(
            (line for line in reversed(self.lines) if line.event in ENDS), None
        )

    @property
    def failed_sends(self) -> list[LogLine]:
        """Returns the sends that failed."""
        return [line for line in self.lines if line.event == 'send-failed']

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Returns the upstreams that the lines name."""
        names = ('decode', 'prefill', 'upstream')
        found = {line.text(name) for line in self.lines for name in names}
        return frozenset(found - {''})


@dataclass(slots=True)
class _Beliefs:
    """What one process believes as its log goes on."""

    catalog: LogLine | None = None
    store_lost: LogLine | None = None
    upstreams: dict[str, LogLine] = field(default_factory=dict)

    def note(self, line: LogLine) -> None:
        """Takes a line that changes a belief."""
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
        """Writes what is believed now into a history."""
        history.catalog = self.catalog
        history.store_lost = self.store_lost
        for upstream_id in history.upstream_ids:
            known = self.upstreams.get(upstream_id)
            if known is not None:
                history.upstreams[upstream_id] = known


def gather(
    lines: Iterable[LogLine], request: str | None = None
) -> list[RequestHistory]:
    """Returns the histories of one request, or of all.

    Args:
        lines: The lines of each source in their order.
        request: Id of the request, ``None`` for all requests.
    """
    beliefs: dict[str, _Beliefs] = {}
    histories: dict[tuple[str, str], RequestHistory] = {}
    for line in lines:
        if line.event == 'start':
            beliefs.pop(line.source, None)
        known = beliefs.setdefault(line.source, _Beliefs())
        known.note(line)
        if not line.request or request not in {None, line.request}:
            continue
        slot = (line.source, line.request)
        history = histories.setdefault(
            slot, RequestHistory(line.request, line.source)
        )
        history.lines.append(line)
        known.copy_to(history)
    return sorted(histories.values(), key=lambda one: one.lines[0].time_s)


__all__ = ('ENDS', 'RequestHistory', 'gather')
