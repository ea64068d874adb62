"""Where a request runs.

Load patterns: prompts that arrive faster than the prefill engines read
them; long answers that fill the memory of the decode engines; upstreams
that fail a part of their requests.

A stream goes to the pair of engines, or to the one decode engine, with the
earliest predicted first token among those whose memory holds it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .upstream import Stage

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..ids import FailureDomainId
    from .catalog import EngineTraits
    from .load_table import UpstreamLoad
    from .view import KnownUpstream

PREFILL_TOKENS_PER_S = 50_000.0
"""Rate at which a prefill engine reads prompts."""

DECODE_PREFILL_FACTOR = 2.5
"""A decode engine reads a prompt this many times as slowly: at half the
speed, and between the steps of the streams that it runs."""

TRANSFER_SETUP_S = 0.004
"""Time to start a transfer between engines."""

CROSS_DOMAIN_TRANSFER_FACTOR = 2.0

DECODE_START_S = 0.01
"""Time from a decode engine's admission to its first token."""

RUNNING_COST_S = 0.002
"""What a request that already runs at a decode engine adds."""

MEMORY_USE = 0.96
"""Part of an engine's memory that requests may grow to."""

COLD_FACTOR = 2.0
"""A cold upstream is this many times as slow."""

OTHER_DOMAIN_COST = 0.04
"""What it costs, in slots, to leave the failure domain."""

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream that may be chosen, with what is known of it.

    Attributes:
        known: The upstream.
        load: Work in flight there from all nodes.
        penalty: Factor, 1 or more, for failures seen lately.
        is_cold: Whether it bears only little load.
    """

    known: KnownUpstream
    load: UpstreamLoad
    penalty: float
    is_cold: bool

    @property
    def decodes(self) -> bool:
        """Tells whether the upstream generates tokens."""
        return self.known.upstream.stage is not Stage.PREFILL

    @property
    def factor(self) -> float:
        """Returns how many times as dear as a warm, sound upstream it is."""
        return self.penalty * (COLD_FACTOR if self.is_cold else 1.0)


@dataclass(frozen=True, slots=True)
class StreamPlan:
    """Where a stream runs.

    Attributes:
        decode: Engine that streams.
        prefill: Engine that reads the prompt first; ``None`` if the decode
            engine reads it itself.
        first_token_s: Predicted time to the first token.
        cost_s: The same, weighted by the engines' failures.
    """

    decode: KnownUpstream
    prefill: KnownUpstream | None
    first_token_s: float
    cost_s: float


@dataclass(frozen=True, slots=True)
class StreamNeed:
    """What a stream needs.

    Attributes:
        prompt_tokens: Tokens to read.
        memory_tokens: Tokens that it may grow to.
    """

    prompt_tokens: int
    memory_tokens: int


def choose_plain_upstream(
    choices: Sequence[Candidate],
    domain_id: FailureDomainId,
    jitter: Callable[[], float],
) -> KnownUpstream | None:
    """Returns the plain upstream with the least load for its slots."""

    def cost(choice: Candidate) -> float:
        upstream = choice.known.upstream
        load = (choice.load.running + 1) / max(1, upstream.slots)
        away = OTHER_DOMAIN_COST * (upstream.domain_id != domain_id)
        return (load + away) * choice.factor + jitter()

    best = min(choices, key=cost, default=None)
    return best.known if best else None


def fits(choice: Candidate, need: StreamNeed, traits: EngineTraits) -> bool:
    """Tells whether an engine's memory holds one more stream."""
    memory = choice.load.memory_tokens + need.memory_tokens
    return memory <= traits.memory_tokens * MEMORY_USE


def is_overbooked(load: UpstreamLoad, traits: EngineTraits) -> bool:
    """Tells whether more memory was set aside at an engine than it has.

    Nodes that plan at the same moment set the same room aside, and learn of
    each other while the prompts are read. In a fleet of 70 nodes that is how
    most refusals of decode engines come about.
    """
    return load.memory_tokens > traits.memory_tokens * MEMORY_USE


def plan_stream(
    choices: Sequence[Candidate],
    need: StreamNeed,
    traits: EngineTraits,
) -> StreamPlan | None:
    """Returns the plan with the earliest predicted first token, if any."""
    decoders = [
        choice
        for choice in choices
        if choice.decodes and fits(choice, need, traits)
    ]
    readers = [choice for choice in choices if not choice.decodes]
    plans = [_direct(decoder, need) for decoder in decoders]
    if readers:
        reader = min(readers, key=lambda one: prefill_time_s(one, need))
        plans += [
            _paired(reader, decoder, need, traits) for decoder in decoders
        ]
    return min(plans, key=lambda plan: plan.cost_s, default=None)


def idle_first_token_s(need: StreamNeed) -> float:
    """Returns the time to the first token at idle engines."""
    return need.prompt_tokens / PREFILL_TOKENS_PER_S + DECODE_START_S


def prefill_time_s(choice: Candidate, need: StreamNeed) -> float:
    """Returns when an engine will have read a prompt, by its factor."""
    return _read_s(choice, need) * choice.factor


def _read_s(choice: Candidate, need: StreamNeed) -> float:
    tokens = choice.load.prefill_tokens + need.prompt_tokens
    return tokens / PREFILL_TOKENS_PER_S


def _start_s(choice: Candidate) -> float:
    return DECODE_START_S + choice.load.running * RUNNING_COST_S


def _direct(decoder: Candidate, need: StreamNeed) -> StreamPlan:
    first_token_s = _read_s(decoder, need) * DECODE_PREFILL_FACTOR
    first_token_s += _start_s(decoder)
    cost_s = first_token_s * decoder.factor
    return StreamPlan(decoder.known, None, first_token_s, cost_s)


def _paired(
    reader: Candidate,
    decoder: Candidate,
    need: StreamNeed,
    traits: EngineTraits,
) -> StreamPlan:
    read_s = _read_s(reader, need)
    start_s = _transfer_time_s(reader, decoder, need, traits)
    start_s += _start_s(decoder)
    cost_s = read_s * reader.factor + start_s * decoder.factor
    return StreamPlan(decoder.known, reader.known, read_s + start_s, cost_s)


def _transfer_time_s(
    reader: Candidate,
    decoder: Candidate,
    need: StreamNeed,
    traits: EngineTraits,
) -> float:
    bits = need.prompt_tokens * traits.token_bytes * BITS_PER_BYTE
    transfer_s = bits / (max(1.0, traits.link_mbps) * BITS_PER_MEGABIT)
    source = reader.known.upstream.domain_id
    if source != decoder.known.upstream.domain_id:
        transfer_s *= CROSS_DOMAIN_TRANSFER_FACTOR
    return TRANSFER_SETUP_S + transfer_s


__all__ = (
    'Candidate',
    'StreamNeed',
    'StreamPlan',
    'choose_plain_upstream',
    'fits',
    'idle_first_token_s',
    'is_overbooked',
    'plan_stream',
    'prefill_time_s',
)
