"""What upstreams said of themselves: that they leave, or ask for a pause.

Load pattern: engines leave one after the other, or all of a service ask for a
pause at once. Requests wait or move meanwhile, and come back slowly.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import UpstreamId
    from ..settings.node import Address
    from .upstream import Upstream

MAX_LEAVING = 4096
"""Incarnations that are remembered as leaving; the oldest are forgotten."""

MAX_PAUSE_S = 120.0
"""Longest pause that an upstream gets, whatever it asks for."""

RAMP_S = 1.0
"""Time after a pause in which an upstream gets requests as a cold one does."""


class Incarnation(NamedTuple):
    """One start of an upstream."""

    upstream_id: UpstreamId
    address: Address
    started_ms: int

    @classmethod
    def from_upstream(cls, upstream: Upstream) -> Incarnation:
        """Returns the incarnation that an entry describes."""
        return cls(upstream.upstream_id, upstream.address, upstream.started_ms)


class Availability:
    """Upstreams that get no request from this node for now."""

    def __init__(self) -> None:
        """Starts with all upstreams available."""
        self._leaving: OrderedDict[Incarnation, None] = OrderedDict()
        self._paused_until_s: dict[Incarnation, float] = {}

    def record_leaving(self, upstream: Upstream) -> bool:
        """Records that an upstream leaves; returns whether that is new.

        It holds for this incarnation, also while the store lists it as ready,
        or doesn't list it.
        """
        incarnation = Incarnation.from_upstream(upstream)
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        return True

    def record_pause(
        self, upstream: Upstream, pause_s: float, now_s: float
    ) -> bool:
        """Records a pause; returns whether it ends later than known ones."""
        self._drop_ended(now_s)
        incarnation = Incarnation.from_upstream(upstream)
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        known_until_s = self._paused_until_s.get(incarnation, 0.0)
        self._paused_until_s[incarnation] = max(until_s, known_until_s)
        return until_s > known_until_s

    def is_leaving(self, upstream: Upstream) -> bool:
        """Returns whether an upstream said that it leaves."""
        return Incarnation.from_upstream(upstream) in self._leaving

    def pause_s(self, upstream: Upstream, now_s: float) -> float:
        """Returns the rest of an upstream's pause in seconds; 0 for none."""
        until_s = self._paused_until_s.get(Incarnation.from_upstream(upstream))
        return 0.0 if until_s is None else max(0.0, until_s - now_s)

    def may_get_requests(self, upstream: Upstream, now_s: float) -> bool:
        """Returns whether an upstream neither leaves nor has a pause."""
        if not (self._leaving or self._paused_until_s):
            return True
        return not (
            self.is_leaving(upstream) or self.pause_s(upstream, now_s) > 0
        )

    def is_paused_at(self, address: Address, now_s: float) -> bool:
        """Returns whether the upstream at an address has a pause."""
        return any(
            incarnation.address == address and until_s > now_s
            for incarnation, until_s in self._paused_until_s.items()
        )

    def is_returning(self, upstream: Upstream, now_s: float) -> bool:
        """Returns whether an upstream's pause has just ended."""
        until_s = self._paused_until_s.get(Incarnation.from_upstream(upstream))
        return until_s is not None and until_s <= now_s < until_s + RAMP_S

    def shortest_pause_s(
        self, upstreams: Iterable[Upstream], now_s: float
    ) -> float:
        """Returns the time until the first of some upstreams is available.

        Those that leave don't count; 0 if there is no other.
        """
        pauses_s = [
            self.pause_s(upstream, now_s)
            for upstream in upstreams
            if not self.is_leaving(upstream)
        ]
        return min(pauses_s, default=0.0)

    def leaving_count(self) -> int:
        """Returns the number of incarnations that said that they leave."""
        return len(self._leaving)

    def paused_count(self, now_s: float) -> int:
        """Returns the number of upstreams with a pause."""
        return sum(until_s > now_s for until_s in self._paused_until_s.values())

    def _drop_ended(self, now_s: float) -> None:
        """Drops pauses, and times after them, that have ended."""
        self._paused_until_s = {
            incarnation: until_s
            for incarnation, until_s in self._paused_until_s.items()
            if until_s + RAMP_S > now_s
        }


__all__ = ('MAX_PAUSE_S', 'RAMP_S', 'Availability', 'Incarnation')
