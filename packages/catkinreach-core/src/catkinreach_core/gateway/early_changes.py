"""Changes that stop work, applied before a VM has read what precedes them.

Load pattern: a large configuration is published again and again while engines
leave. A VM on a slow link takes seconds to read the configurations, and what
the store says of the engines waits behind them.

Readers of a large fleet tell at once which engines leave. What a VM was told so
holds until it has read as far itself: an older entry in its own reads doesn't
bring an engine back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .feed import (
    DomainEvacuated,
    DomainRestored,
    EntryUnreadable,
    UpstreamPublished,
    UpstreamRemoved,
)
from .upstream import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..ids import Revision
    from .feed import SmallChange

MAX_EARLY_CHANGES = 512
"""Changes that a VM keeps; the oldest ones yield."""


def stops_work(change: SmallChange) -> bool:
    """Returns whether upstreams get less work because of a change."""
    match change:
        case UpstreamRemoved() | DomainEvacuated():
            return True
        case UpstreamPublished(upstream):
            return upstream.state is not UpstreamState.READY
    return False


def lasting_stops(changes: Iterable[SmallChange]) -> list[SmallChange]:
    """Returns the changes that stop work and that no later one replaces.

    An upstream may leave and be back under its id.
    """
    last = {_subject(change): change for change in changes}
    return [change for change in last.values() if stops_work(change)]


def _subject(change: SmallChange) -> str:
    """Returns the id of the upstream or failure domain that changes."""
    match change:
        case UpstreamPublished(upstream):
            return f'upstream {upstream.upstream_id}'
        case UpstreamRemoved(upstream_id):
            return f'upstream {upstream_id}'
        case DomainEvacuated(domain_id) | DomainRestored(domain_id):
            return f'domain {domain_id}'
        case EntryUnreadable():
            return f'upstream {change.upstream_id}'


class EarlyChanges:
    """What a VM was told beyond the revision that it has read up to."""

    def __init__(self) -> None:
        """Starts without changes."""
        self._changes: list[tuple[Revision, SmallChange]] = []

    def note(self, revision: Revision, changes: Iterable[SmallChange]) -> None:
        """Notes changes, which are part of a revision."""
        self._changes += [(revision, change) for change in changes]
        del self._changes[:-MAX_EARLY_CHANGES]

    def beyond(self, revision: Revision) -> Sequence[SmallChange]:
        """Returns the changes that aren't part of a revision; drops others."""
        self._changes = [
            (later, change)
            for later, change in self._changes
            if later > revision
        ]
        return [change for _, change in self._changes]


__all__ = ('EarlyChanges', 'lasting_stops', 'stops_work')
