"""Placement of requests on upstreams.

Load patterns: prompts that arrive faster than the prefill engines process
them; long outputs that fill the memory of the decode engines; upstreams
that fail a part of their requests.

A stream goes to the prefill and decode engine, or to the decode engine
alone, with the earliest predicted first token. Only decode engines with
enough free memory are considered.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .upstream import Stage

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..ids import FailureDomainId, SoftwareVersion
    from .catalog import EngineTraits
    from .load_table import UpstreamLoad
    from .view import KnownUpstream

PREFILL_TOKENS_PER_S = 50_000.0
"""Throughput of a prefill engine."""

DECODE_PREFILL_FACTOR = 2.5
"""Slowdown of a prefill on a decode engine: it runs at half the speed, and
alternates with the decode steps of other streams."""

TRANSFER_SETUP_S = 0.004
"""Time to set up a KV cache transfer between engines."""

CROSS_DOMAIN_TRANSFER_FACTOR = 2.0
"""Slowdown of a KV cache transfer between failure domains."""

DECODE_START_S = 0.01
"""Time from a decode engine's admission to its first token."""

RUNNING_COST_S = 0.002
"""Delay that each request already running at a decode engine adds."""

MEMORY_USE = 0.96
"""Fraction of an engine's memory that requests may fill."""

COLD_FACTOR = 2.0
"""Factor by which a cold upstream is slower."""

OTHER_DOMAIN_COST = 0.04
"""Cost of an upstream in another failure domain, as added slot utilization."""

MAX_SPARE_UTILIZATION = 0.5
"""Slot utilization below which a plain service has capacity to spare."""

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be chosen, with its current state.

    Attributes:
        known: The upstream.
        load: Work in flight there from all nodes.
        penalty: Cost factor, 1 or more, for recent failures.
        is_cold: Whether it is cold, so that it can serve only little load.
    """

    known: KnownUpstream
    load: UpstreamLoad
    penalty: float
    is_cold: bool

    @property
    def can_decode(self) -> bool:
        """Returns whether the upstream generates tokens."""
        return self.known.upstream.stage is not Stage.PREFILL

    @property
    def software_version(self) -> SoftwareVersion:
        """Returns the version of the upstream's software."""
        return self.known.upstream.software_version

    @property
    def cost_factor(self) -> float:
        """Returns the cost relative to a warm upstream without failures."""
        return self.penalty * (COLD_FACTOR if self.is_cold else 1.0)


@dataclass(frozen=True, slots=True)
class StreamPlan:
    """Engines that run a stream.

    Attributes:
        decode: Engine that generates the tokens.
        prefill: Engine that prefills the prompt; ``None`` if the decode
            engine does so itself.
        first_token_s: Predicted time to the first token.
        cost_s: The predicted time, weighted by the engines' cost factors.
    """

    decode: KnownUpstream
    prefill: KnownUpstream | None
    first_token_s: float
    cost_s: float


@dataclass(frozen=True, slots=True)
class StreamNeed:
    """Resources that a stream needs.

    Attributes:
        prompt_tokens: Tokens to prefill.
        memory_tokens: Tokens that its KV cache may grow to.
    """

    prompt_tokens: int
    memory_tokens: int


def choose_plain_upstream(
    candidates: Sequence[Candidate],
    domain_id: FailureDomainId,
    jitter: Callable[[], float],
) -> KnownUpstream | None:
    """Returns the plain upstream with the lowest slot utilization."""

    def cost(candidate: Candidate) -> float:
        upstream = candidate.known.upstream
        load = (candidate.load.running + 1) / max(1, upstream.slots)
        domain_cost = OTHER_DOMAIN_COST * (upstream.domain_id != domain_id)
        return (load + domain_cost) * candidate.cost_factor + jitter()

    best = min(candidates, key=cost, default=None)
    return best.known if best else None


def has_spare_slots(candidates: Sequence[Candidate]) -> bool:
    """Returns whether plain upstreams have capacity that nobody waits for."""
    running = sum(candidate.load.running for candidate in candidates)
    slots = sum(candidate.known.upstream.slots for candidate in candidates)
    return running < slots * MAX_SPARE_UTILIZATION


def has_memory_for(
    candidate: Candidate, need: StreamNeed, traits: EngineTraits
) -> bool:
    """Returns whether an engine has enough free memory for a stream."""
    required = candidate.load.memory_tokens + need.memory_tokens
    return required <= traits.memory_tokens * MEMORY_USE


def is_overbooked(load: UpstreamLoad, traits: EngineTraits) -> bool:
    """Returns whether more memory is reserved at an engine than it has.

    Nodes that place streams at the same moment reserve the same free memory,
    and receive each other's loads while the prompts are prefilled. In
    a fleet of 70 nodes most refusals of decode engines have this cause.
    """
    return load.memory_tokens > traits.memory_tokens * MEMORY_USE


def plan_stream(
    candidates: Sequence[Candidate],
    need: StreamNeed,
    traits: EngineTraits,
) -> StreamPlan | None:
    """Returns the plan with the lowest cost, if any engine has memory."""
    decode_engines = [
        candidate
        for candidate in candidates
        if candidate.can_decode and has_memory_for(candidate, need, traits)
    ]
    prefill_engines = [
        candidate for candidate in candidates if not candidate.can_decode
    ]
    plans = [
        _plan_decode_only(decode_engine, need)
        for decode_engine in decode_engines
    ]
    if prefill_engines:
        prefill_engine = min(
            prefill_engines,
            key=lambda engine: weighted_prefill_s(engine, need),
        )
        plans += [
            _plan_with_prefill_engine(
                prefill_engine, decode_engine, need, traits
            )
            for decode_engine in decode_engines
        ]
    return min(plans, key=lambda plan: plan.cost_s, default=None)


def idle_first_token_s(need: StreamNeed) -> float:
    """Returns the time to the first token at idle engines."""
    return need.prompt_tokens / PREFILL_TOKENS_PER_S + DECODE_START_S


def weighted_prefill_s(candidate: Candidate, need: StreamNeed) -> float:
    """Returns the time to prefill a prompt, weighted by the cost factor."""
    return _prefill_s(candidate, need) * candidate.cost_factor


def _prefill_s(candidate: Candidate, need: StreamNeed) -> float:
    tokens = candidate.load.prefill_tokens + need.prompt_tokens
    return tokens / PREFILL_TOKENS_PER_S


def _decode_start_s(candidate: Candidate) -> float:
    return DECODE_START_S + candidate.load.running * RUNNING_COST_S


def _plan_decode_only(decode_engine: Candidate, need: StreamNeed) -> StreamPlan:
    first_token_s = _prefill_s(decode_engine, need) * DECODE_PREFILL_FACTOR
    first_token_s += _decode_start_s(decode_engine)
    cost_s = first_token_s * decode_engine.cost_factor
    return StreamPlan(decode_engine.known, None, first_token_s, cost_s)


def _plan_with_prefill_engine(
    prefill_engine: Candidate,
    decode_engine: Candidate,
    need: StreamNeed,
    traits: EngineTraits,
) -> StreamPlan:
    prefill_s = _prefill_s(prefill_engine, need)
    start_s = _transfer_time_s(prefill_engine, decode_engine, need, traits)
    start_s += _decode_start_s(decode_engine)
    cost_s = (
        prefill_s * prefill_engine.cost_factor
        + start_s * decode_engine.cost_factor
    )
    return StreamPlan(
        decode_engine.known, prefill_engine.known, prefill_s + start_s, cost_s
    )


def _transfer_time_s(
    prefill_engine: Candidate,
    decode_engine: Candidate,
    need: StreamNeed,
    traits: EngineTraits,
) -> float:
    bits = need.prompt_tokens * traits.token_bytes * BITS_PER_BYTE
    transfer_s = bits / (max(1.0, traits.link_mbps) * BITS_PER_MEGABIT)
    source = prefill_engine.known.upstream.domain_id
    if source != decode_engine.known.upstream.domain_id:
        transfer_s *= CROSS_DOMAIN_TRANSFER_FACTOR
    return TRANSFER_SETUP_S + transfer_s


__all__ = (
    'MEMORY_USE',
    'Candidate',
    'StreamNeed',
    'StreamPlan',
    'choose_plain_upstream',
    'has_memory_for',
    'has_spare_slots',
    'idle_first_token_s',
    'is_overbooked',
    'plan_stream',
    'weighted_prefill_s',
)
