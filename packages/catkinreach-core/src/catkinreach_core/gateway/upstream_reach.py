"""Whether a VM reaches upstreams over its own links.

Load pattern: a VM loses its links to all upstreams at once, while callers,
peers and the store still reach it. Its connects fail as if each upstream had
crashed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import UpstreamId

MIN_FAILED_UPSTREAMS = 2
"""Upstreams in a row that can't be connected to, from which a VM checks whether
it reaches any."""

MIN_CHECK_INTERVAL_S = 1.0
"""Time from a check to the next one, while upstreams go down one by one."""


class UpstreamReach:
    """The connects of one VM since its last one that succeeded."""

    def __init__(self) -> None:
        """Starts as a VM that reaches upstreams."""
        self._failed: set[UpstreamId] = set()
        self._checked_at_s = -math.inf
        self._has_reached = False
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Returns whether the VM reaches no upstream."""
        return self._is_cut_off

    @property
    def failed(self) -> frozenset[UpstreamId]:
        """Returns the upstreams that failed since a connect succeeded."""
        return frozenset(self._failed)

    def record_reached(self) -> None:
        """Records a connect that succeeded."""
        self._failed.clear()
        self._has_reached = True
        self._is_cut_off = False

    def record_failed(self, upstream_id: UpstreamId) -> None:
        """Records a connect that failed."""
        self._failed.add(upstream_id)

    def needs_check(
        self, known_upstreams: int, now_s: float, *, is_suspected: bool = False
    ) -> bool:
        """Returns whether the VM may be cut off, which a check shows.

        Args:
            known_upstreams: Number of upstreams that the VM knows.
            now_s: Monotonic clock.
            is_suspected: Whether one failure is enough, as more than the
                state of an upstream depends on it.
        """
        enough = min(MIN_FAILED_UPSTREAMS, max(1, known_upstreams))
        if is_suspected:
            enough = 1
        return (
            not self._is_cut_off
            and len(self._failed) >= enough
            and now_s - self._checked_at_s >= MIN_CHECK_INTERVAL_S
        )

    def begin_check(self, now_s: float) -> None:
        """Records the start of a check, which connects to other upstreams."""
        self._checked_at_s = now_s
        self._has_reached = False

    def end_check(self) -> bool:
        """Returns whether the VM is cut off: no connect has succeeded."""
        self._is_cut_off = not self._has_reached
        return self._is_cut_off


__all__ = ('MIN_CHECK_INTERVAL_S', 'MIN_FAILED_UPSTREAMS', 'UpstreamReach')
