"""Changes that the store publishes, and the interface to read them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

from msgspec import Struct

from ..ids import FailureDomainId, UpstreamId
from .catalog import Catalog
from .upstream import Upstream

if TYPE_CHECKING:
    from ..ids import Revision
    from ..settings.node import Address


class StoreUnavailable(Exception):  # noqa: N818 - a state, not a fault
    """The store can't be read at the moment."""


class HistoryLost(Exception):  # noqa: N818 - a state, not a fault
    """The store no longer has the changes that were requested."""


class CatalogPublished(Struct, frozen=True, array_like=True, tag=True):
    """A configuration was published."""

    catalog: Catalog


class UpstreamPublished(Struct, frozen=True, array_like=True, tag=True):
    """An upstream's entry was added or changed."""

    upstream: Upstream


class UpstreamRemoved(Struct, frozen=True, array_like=True, tag=True):
    """An upstream's entry was removed."""

    upstream_id: UpstreamId


class DomainEvacuated(Struct, frozen=True, array_like=True, tag=True):
    """A failure domain must get no new work."""

    domain_id: FailureDomainId


class DomainRestored(Struct, frozen=True, array_like=True, tag=True):
    """A failure domain may get work again."""

    domain_id: FailureDomainId


class EntryUnreadable(Struct, frozen=True, array_like=True, tag=True):
    """An entry is malformed; an upstream's entry also has its id."""

    key: str
    reason: str
    upstream_id: UpstreamId | None


SmallChange: TypeAlias = (
    UpstreamPublished
    | UpstreamRemoved
    | DomainEvacuated
    | DomainRestored
    | EntryUnreadable
)
"""A change that fits into a datagram."""

Change: TypeAlias = CatalogPublished | SmallChange


@dataclass(frozen=True, slots=True)
class Listing:
    """All published entries.

    Attributes:
        changes: One change per entry.
        revision: Position from which to watch, see ``store_position``.
    """

    changes: list[Change]
    revision: Revision


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes in the order of publication, up to a position."""

    changes: list[Change]
    revision: Revision


class StoreFeed(Protocol):
    """Reads the entries of the store and watches for changes."""

    @property
    def call_count(self) -> int:
        """Returns the number of calls made so far."""

    @property
    def received_bytes(self) -> int:
        """Returns the number of bytes of answers received so far."""

    def set_address(self, address: Address) -> None:
        """Lets later calls go to another address of the store."""

    async def list_all(self) -> Listing:
        """Returns all published entries.

        Raises:
            StoreUnavailable: if the store can't be read.
        """

    async def watch(self, after: Revision, wait_s: float) -> ChangeBatch:
        """Waits for changes after a revision and returns them.

        Raises:
            HistoryLost: if the store no longer has them.
            StoreUnavailable: if the store can't be read.
        """

    def close(self) -> None:
        """Closes the connections to the store."""


__all__ = (
    'CatalogPublished',
    'Change',
    'ChangeBatch',
    'DomainEvacuated',
    'DomainRestored',
    'EntryUnreadable',
    'HistoryLost',
    'Listing',
    'SmallChange',
    'StoreFeed',
    'StoreUnavailable',
    'UpstreamPublished',
    'UpstreamRemoved',
)
