"""What the store publishes, as changes of a node's view."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from ..ids import FailureDomainId, Revision, UpstreamId
    from .catalog import Catalog
    from .upstream import Upstream


class StoreUnavailable(Exception):  # noqa: N818 - a state, not a fault
    """The store can't be read at the moment."""


class HistoryLost(Exception):  # noqa: N818 - a state, not a fault
    """The store no longer knows the changes that were asked for."""


@dataclass(frozen=True, slots=True)
class CatalogPublished:
    """A configuration was published."""

    catalog: Catalog


@dataclass(frozen=True, slots=True)
class UpstreamPublished:
    """An upstream's entry is there."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamRemoved:
    """An upstream's entry is no longer there."""

    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """A failure domain is to get no new work."""

    domain_id: FailureDomainId


@dataclass(frozen=True, slots=True)
class DomainRestored:
    """A failure domain may get work again."""

    domain_id: FailureDomainId


@dataclass(frozen=True, slots=True)
class EntryUnreadable:
    """An entry is malformed; if it is an upstream's, it names none."""

    key: str
    reason: str
    upstream_id: UpstreamId | None


Change: TypeAlias = (
    CatalogPublished
    | UpstreamPublished
    | UpstreamRemoved
    | DomainEvacuated
    | DomainRestored
    | EntryUnreadable
)


@dataclass(frozen=True, slots=True)
class Listing:
    """All that is published.

    Attributes:
        changes: One for each entry.
        revision: Revision from which to watch.
    """

    changes: list[Change]
    revision: Revision


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes in order, up to a revision."""

    changes: list[Change]
    revision: Revision


class StoreFeed(Protocol):
    """Reads the store."""

    @property
    def call_count(self) -> int:
        """Returns the calls made so far."""

    async def list_all(self) -> Listing:
        """Returns all that is published.

        Raises:
            StoreUnavailable: if it can't be read.
        """

    async def watch(self, after: Revision, wait_s: float) -> ChangeBatch:
        """Returns the changes after a revision, once there are any.

        Raises:
            HistoryLost: if the store no longer knows them.
            StoreUnavailable: if it can't be read.
        """


__all__ = (
    'CatalogPublished',
    'Change',
    'ChangeBatch',
    'DomainEvacuated',
    'DomainRestored',
    'EntryUnreadable',
    'HistoryLost',
    'Listing',
    'StoreFeed',
    'StoreUnavailable',
    'UpstreamPublished',
    'UpstreamRemoved',
)
