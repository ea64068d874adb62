"""Ranges of the numbers in datagrams between nodes.

Whatever a node sums up from messages within these ranges fits into a message of
its own.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta

from ..ids import Revision

MAX_TOKENS: Final = 2**48
"""Most tokens, or requests, that one node or one aggregator reports."""

MAX_COST: Final = 2.0**53
"""Greatest cost that one node or one aggregator reports."""

MAX_AGE_MS: Final = 365 * 24 * 3_600_000
"""Greatest age in milliseconds, a year; what is older is as old as that."""

MAX_TIME_S: Final = 2.0**32
"""Longest time in seconds; a configured one is shorter."""

MAX_GRACE_S: Final = 60.0
"""Longest time for upstreams to renew expired entries."""

MAX_UNIX_MS: Final = 2**53
MAX_REVISION: Final = 2**63 - 1
MAX_NODES: Final = 2**31 - 1

Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
NodeCount = Annotated[int, Meta(ge=0, le=MAX_NODES)]
Cost = Annotated[float, Meta(ge=0, le=MAX_COST)]
AgeMs = Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_TIME_S)]
GraceSeconds = Annotated[float, Meta(ge=0, le=MAX_GRACE_S)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
RevisionNumber = Annotated[Revision, Meta(ge=0, le=MAX_REVISION)]

__all__ = (
    'MAX_AGE_MS',
    'AgeMs',
    'Cost',
    'GraceSeconds',
    'NodeCount',
    'RevisionNumber',
    'Seconds',
    'Tokens',
    'UnixMs',
)
