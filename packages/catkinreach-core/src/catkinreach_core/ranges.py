"""Ranges of numbers and texts that come from outside."""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta

MAX_COUNT: Final = 2**31 - 1
"""Largest number of tokens, slots, connections or bytes."""

MAX_MS: Final = 365 * 24 * 3_600_000
"""Longest time, in milliseconds; a year."""

MAX_S: Final = 365 * 24 * 3_600
"""Longest time, in seconds; a year."""

MAX_UNIX_MS: Final = 2**53
"""Latest Unix time, in milliseconds; floats still hold it exactly."""

MAX_REVISION: Final = 2**63 - 1
MAX_PORT: Final = 65_535

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
TokenId = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
PositiveCount = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Amount = Annotated[float, Meta(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_S)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_MS)]
UnixMilliseconds = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
SequenceNumber = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
HostPort = Annotated[str, Meta(pattern='^.{1,256}:[0-9]{1,5}$')]

__all__ = (
    'MAX_COUNT',
    'MAX_MS',
    'MAX_PORT',
    'MAX_S',
    'Amount',
    'Count',
    'HostPort',
    'Milliseconds',
    'PositiveCount',
    'Revision',
    'Seconds',
    'SequenceNumber',
    'TokenId',
    'UnixMilliseconds',
)
