"""Exit codes of ``catkinreach``."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Why the command ended as it did."""

    OK = 0
    USAGE = 1
    SETTINGS = 2
    UNREACHABLE = 3
    REFUSED = 4
    UNCLEAN = 5


__all__ = ('ExitCode',)
