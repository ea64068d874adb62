"""How many engines of a service only read prompts.

Load pattern: many long prompts at once. Prefill engines that stand idle
hold memory that the decode engines lack, and streams are refused.

Decode engines pass on as many tokens as their memory turns over while their
streams end. What the prefill engines can't read for them they read
themselves, and generate more slowly for it. The plan takes the number of
readers that passes on the most.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .placement import DECODE_PREFILL_FACTOR, PREFILL_TOKENS_PER_S
from .upstream import Stage, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import ServiceId, UpstreamId
    from .catalog import EngineTraits
    from .upstream import Upstream

RESIDENCE_S = 3.0
"""Time that a stream holds its memory."""

NEARLY = 0.95
"""Part of the best throughput that counts as nearly as good."""

STEADY_S = 3.0
"""Time for which engines must be surplus before one changes its stage."""


def throughput(readers: int, engines: int, traits: EngineTraits) -> float:
    """Returns the prompt tokens a second that a service passes on.

    A decode engine that reads ``own`` tokens a second spends the share
    ``own / own_rate`` of its time on it, and its streams hold their memory
    longer by as much.
    """
    decoders = engines - readers
    read_apart = readers * PREFILL_TOKENS_PER_S
    turnover = traits.memory_tokens / RESIDENCE_S
    if not decoders or read_apart >= decoders * turnover:
        return decoders * turnover
    own_rate = PREFILL_TOKENS_PER_S / DECODE_PREFILL_FACTOR
    own = (turnover - read_apart / decoders) / (1 + turnover / own_rate)
    return read_apart + decoders * own


def wanted_prefill_engines(engines: int, traits: EngineTraits) -> int:
    """Returns the number of prefill engines that a service needs.

    Of plans that are nearly as good the one with the most readers is taken:
    a prompt is read faster apart.
    """
    best = max(throughput(one, engines, traits) for one in range(engines))
    return max(
        one
        for one in range(engines)
        if throughput(one, engines, traits) >= best * NEARLY
    )


def surplus_prefill_engine(
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
    if not readers or len(readers) <= wanted_prefill_engines(
        len(engines), traits
    ):
        return None
    return max(readers, key=lambda one: one.upstream_id)


class SurplusDebouncer:
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


__all__ = (
    'STEADY_S',
    'SurplusDebouncer',
    'surplus_prefill_engine',
    'throughput',
    'wanted_prefill_engines',
)
