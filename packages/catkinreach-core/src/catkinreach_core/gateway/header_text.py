"""Names from outside that requests to upstreams carry in headers."""

from __future__ import annotations

import re
from typing import Final

MAX_NAME_CHARS: Final = 256

_HEADER_VALUE: Final = re.compile(
    r'[!-~\x80-\xff]([ \t!-~\x80-\xff]*[!-~\x80-\xff])?'
)


def is_sendable_name(name: str) -> bool:
    """Returns whether a name, such as an id, can be the value of a header."""
    return (
        len(name) <= MAX_NAME_CHARS
        and _HEADER_VALUE.fullmatch(name) is not None
    )


__all__ = ('is_sendable_name',)
