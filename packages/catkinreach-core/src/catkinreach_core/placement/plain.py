"""Load balancing of a plain service by one node, from its own requests.

A plain service has a single pool, without prefill and decode engines.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..cell.ramp import SlowStart

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..ids import UpstreamId
    from ..settings.fleet import Upstream

DOWN_S = 1.0
"""Time for which an upstream is the last choice after a failed connection."""

_WARM_COMPLETIONS = 1_000_000
"""Completions after which the slow start bounds no upstream any more."""


def _warm_ramp() -> SlowStart:
    ramp = SlowStart(cold_places=1)
    ramp.merge_completed(_WARM_COMPLETIONS)
    return ramp


@dataclass(slots=True)
class _UpstreamState:
    running: int = 0
    down_until_s: float = 0.0
    ramp: SlowStart = field(default_factory=_warm_ramp)


class PlainBalancer:
    """Chooses the upstream with the lowest utilization.

    An upstream that refused or lost a connection is the last choice for
    ``DOWN_S`` and then goes through slow start. Requests above its bound go
    to the others.
    """

    def __init__(self) -> None:
        """Treats every upstream as warm until it fails."""
        self._states: dict[UpstreamId, _UpstreamState] = {}
        self._turn = itertools.count()

    def choose_upstream(
        self, candidates: Sequence[Upstream], now_s: float
    ) -> Upstream | None:
        """Returns an upstream, or ``None`` if there are no candidates."""
        if not candidates:
            return None
        turn = next(self._turn) % len(candidates)
        in_turn = (*candidates[turn:], *candidates[:turn])
        return min(in_turn, key=lambda upstream: self._rank(upstream, now_s))

    def start_request(self, upstream_id: UpstreamId) -> None:
        """Counts a request as in flight."""
        self._state(upstream_id).running += 1

    def end_request(
        self, upstream_id: UpstreamId, *, is_complete: bool
    ) -> None:
        """Counts a request as ended; a complete one advances the slow start."""
        state = self._state(upstream_id)
        state.running -= 1
        if is_complete:
            state.ramp.count_completion()

    def record_connection_failure(
        self, upstream_id: UpstreamId, now_s: float
    ) -> None:
        """Records a refused or lost connection."""
        state = self._state(upstream_id)
        state.down_until_s = now_s + DOWN_S
        state.ramp.reset()

    def _state(self, upstream_id: UpstreamId) -> _UpstreamState:
        return self._states.setdefault(upstream_id, _UpstreamState())

    def _rank(
        self, upstream: Upstream, now_s: float
    ) -> tuple[bool, bool, float]:
        state = self._state(upstream.upstream_id)
        places = state.ramp.limit(upstream.places)
        return (
            now_s < state.down_until_s,
            state.running >= places,
            state.running / places,
        )


__all__ = ('DOWN_S', 'PlainBalancer')
