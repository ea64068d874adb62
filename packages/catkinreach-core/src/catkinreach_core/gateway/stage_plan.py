"""Number of engines of a service that only prefill prompts.

Load pattern: many long prompts at once. Idle prefill engines hold memory
that the decode engines lack, and streams are refused.

The throughput of decode engines is limited by how fast streams end and free
their memory. Decode engines prefill the prompts for which the prefill engines
have no capacity, and generate more slowly meanwhile. The plan is the number of
prefill engines with nearly the highest throughput.
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
"""Assumed time for which a stream holds its memory."""

MIN_THROUGHPUT_RATIO = 0.95
"""Fraction of the best throughput that a plan must reach."""

STEADY_S = 3.0
"""Time for which a surplus must last before an engine changes its stage."""


def throughput(
    prefill_engines: int, engines: int, traits: EngineTraits
) -> float:
    """Returns the prompt tokens per second that a service can process.

    The ending streams of a decode engine free ``turnover_rate`` tokens of
    memory per second. An engine that also prefills ``local_rate`` tokens per
    second spends the fraction ``local_rate / max_local_rate`` of its time on
    that, and its streams hold their memory longer by the same fraction.
    """
    decode_engines = engines - prefill_engines
    prefill_rate = prefill_engines * PREFILL_TOKENS_PER_S
    turnover_rate = traits.memory_tokens / RESIDENCE_S
    if not decode_engines or prefill_rate >= decode_engines * turnover_rate:
        return decode_engines * turnover_rate
    max_local_rate = PREFILL_TOKENS_PER_S / DECODE_PREFILL_FACTOR
    local_rate = (turnover_rate - prefill_rate / decode_engines) / (
        1 + turnover_rate / max_local_rate
    )
    return prefill_rate + decode_engines * local_rate


def wanted_prefill_engines(engines: int, traits: EngineTraits) -> int:
    """Returns the number of prefill engines that a service needs.

    Of the plans close to the best throughput the one with the most prefill
    engines is taken: they prefill a prompt faster than decode engines.
    """
    best = max(throughput(count, engines, traits) for count in range(engines))
    return max(
        count
        for count in range(engines)
        if throughput(count, engines, traits) >= best * MIN_THROUGHPUT_RATIO
    )


def surplus_prefill_engine(
    upstreams: Collection[Upstream],
    traits: EngineTraits,
    switching: Collection[UpstreamId],
) -> Upstream | None:
    """Returns a surplus prefill engine that should switch to decode, if any.

    Args:
        upstreams: Upstreams of one service that may get work.
        traits: Traits of its engines.
        switching: Engines that already change their stage.
    """
    engines = [
        engine for engine in upstreams if engine.state is UpstreamState.READY
    ]
    prefill_engines = [
        engine
        for engine in engines
        if engine.stage is Stage.PREFILL and engine.upstream_id not in switching
    ]
    if not prefill_engines or len(prefill_engines) <= wanted_prefill_engines(
        len(engines), traits
    ):
        return None
    return max(prefill_engines, key=lambda engine: engine.upstream_id)


class SurplusDebouncer:
    """Reports a surplus only after it has lasted for ``STEADY_S``.

    A crashed engine is back within seconds, and a change of stage takes
    longer than that. So a surplus that a crash causes must not change a
    stage.
    """

    def __init__(self) -> None:
        """Starts without a surplus."""
        self._since_s: dict[ServiceId, float] = {}

    def has_lasted(
        self, service_id: ServiceId, *, is_surplus: bool, now_s: float
    ) -> bool:
        """Takes a sample; returns whether the surplus has lasted."""
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
