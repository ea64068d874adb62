"""How many engines of a service only read prompts.

Load pattern: many long prompts at once. Prefill engines that stand idle
hold memory that the decode engines lack, and streams are refused.

A prefill engine reads as many tokens a second as fill the memory of some
decode engines at the rate at which their streams end. That ratio tells how
many readers a service needs; a decode engine can read prompts too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .placement import PREFILL_TOKENS_PER_S
from .upstream import Stage, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import ServiceId, UpstreamId
    from .catalog import EngineTraits
    from .upstream import Upstream

RESIDENCE_S = 3.0
"""Time that a stream holds its memory."""

MIN_READERS = 1

STEADY_S = 3.0
"""Time for which engines must be surplus before one changes its stage."""


def wanted_readers(engines: int, traits: EngineTraits) -> int:
    """Returns the number of prefill engines that a service needs."""
    turnover_per_s = traits.memory_tokens / RESIDENCE_S
    fed = PREFILL_TOKENS_PER_S / turnover_per_s
    return max(MIN_READERS, round(engines / (1 + fed)))


def surplus_reader(
    upstreams: Collection[Upstream],
    traits: EngineTraits,
    switching: Collection[UpstreamId],
) -> Upstream | None:
    """Returns a prefill engine that is to decode from now on, if any.

    Args:
        upstreams: Upstreams of one service that may get work.
        traits: Traits of its engines.
        switching: Engines that already change their stage.
    """
    engines = [one for one in upstreams if one.state is UpstreamState.READY]
    readers = [
        one
        for one in engines
        if one.stage is Stage.PREFILL and one.upstream_id not in switching
    ]
    if len(readers) <= wanted_readers(len(engines), traits):
        return None
    return max(readers, key=lambda one: one.upstream_id)


class SteadySurplus:
    """Passes on a surplus that has lasted.

    Engines that crash are back within seconds; a change of stage takes
    longer than that, so it has to wait until a loss proves to last.
    """

    def __init__(self) -> None:
        """Starts without a surplus."""
        self._since_s: dict[ServiceId, float] = {}

    def has_lasted(
        self, service_id: ServiceId, *, is_surplus: bool, now_s: float
    ) -> bool:
        """Takes one look; True once all looks of some seconds agreed."""
        if not is_surplus:
            self._since_s.pop(service_id, None)
            return False
        since_s = self._since_s.setdefault(service_id, now_s)
        return now_s - since_s >= STEADY_S


__all__ = ('STEADY_S', 'SteadySurplus', 'surplus_reader', 'wanted_readers')
