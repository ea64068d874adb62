"""The one request of a node that is tried while others like it are refused."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .crash_reports import SuspectKey

TRIAL_S = 4.0
"""Time for which a request that is tried keeps other ones out. It is long
enough for its upstream to crash, and for all nodes to hear of that."""


class Trial:
    """Lets one request at a time run.

    A request is known by its own collection of keys, the object: a repeat of it
    has equal ones.
    """

    def __init__(self) -> None:
        """Starts without a request."""
        self._owner: Iterable[SuspectKey] | None = None
        self._until_s = -math.inf

    def try_begin(self, keys: Iterable[SuspectKey], now_s: float) -> bool:
        """Returns whether a request is the one that is tried now."""
        if not self.is_open_to(keys, now_s):
            return False
        if now_s >= self._until_s:
            self._owner = keys
            self._until_s = now_s + TRIAL_S
        return True

    def is_open_to(self, keys: Iterable[SuspectKey], now_s: float) -> bool:
        """Returns whether a request could begin, or is tried already."""
        return now_s >= self._until_s or keys is self._owner

    def end(self, keys: Iterable[SuspectKey]) -> None:
        """Ends the trial if the request with these keys was tried."""
        if keys is self._owner:
            self._until_s = -math.inf


__all__ = ('TRIAL_S', 'Trial')
