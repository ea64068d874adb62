"""Exit codes of ``catkinreach``."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes, as documented by ``catkinreach --help``.

    ``INCOMPLETE`` ends a load or experiment in which an accepted request was
    not answered completely.
    """

    OK = 0
    USAGE = 1
    SETTINGS = 2
    UNREACHABLE = 3
    REFUSED = 4
    INCOMPLETE = 5


__all__ = ('ExitCode',)
