"""Positions in the store's history, ordered over its restores.

The store may come back from a copy some seconds old. Then its revisions go back
and are given out again, in a new era. A position holds both, the era in the
high bits, so that whatever compares two positions orders them by era first. A
store that names no era is in era 0, where positions are plain revisions.
"""

from __future__ import annotations

from ..ids import Revision

REVISION_BITS = 36
MAX_STORE_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << 27) - 1


def make_position(era: int, revision: int) -> Revision:
    """Returns the position of a revision in an era."""
    return Revision(era << REVISION_BITS | revision)


def era_of(position: Revision) -> int:
    """Returns the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: Revision) -> int:
    """Returns the store's revision at a position."""
    return position & MAX_STORE_REVISION


def is_restored(listing: Revision, held: Revision) -> bool:
    """Returns whether the store was restored since a position was read.

    Args:
        listing: Position of a listing.
        held: Position read up to before; 0 if nothing was read.
    """
    return bool(held) and era_of(listing) > era_of(held)


__all__ = (
    'MAX_ERA',
    'MAX_STORE_REVISION',
    'era_of',
    'is_restored',
    'make_position',
    'revision_of',
)
