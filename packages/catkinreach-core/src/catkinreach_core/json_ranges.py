"""Ranges of the numbers in JSON documents of callers and engines."""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta

MAX_COUNT: Final = 2**31 - 1
"""Largest number of tokens, KV pieces or requests."""

MAX_NUMBER: Final = 2**63 - 1
"""Largest sequence, revision or fencing number."""

MAX_TIME_S: Final = 365 * 24 * 3_600

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Sequence = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_TIME_S)]
HexDigest = Annotated[str, Meta(pattern='^[0-9a-fA-F]{1,64}$')]
HostPort = Annotated[str, Meta(pattern='^.{1,256}:[0-9]{1,5}$')]

__all__ = ('Count', 'HexDigest', 'HostPort', 'Seconds', 'Sequence')
