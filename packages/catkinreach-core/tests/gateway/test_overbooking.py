"""Streams that reserve the same memory of a decode engine during prefill.

Load pattern: memory is nearly full everywhere, and many nodes poll for free
memory. Nodes that poll within the delay of a load report reserve the same
memory; the engine refuses the last stream, and its prefill is wasted.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.placement import MEMORY_USE, is_overbooked
from catkinreach_standins.fakes.gateway import TRAITS

ENGINES = 8
STREAM_TOKENS = 5600
USABLE_TOKENS = TRAITS.memory_tokens * MEMORY_USE
REPORT_DELAY_S = 0.01
PREFILL_S = 0.15
HANDLE_LIFETIME_S = PREFILL_S + 0.4
POLL_S = 0.02
RESIDENCE_S = 3.0
UNPLACED = -1
STEP_S = 0.001
POLL_PROBABILITY_PER_STEP = 0.06
"""Probability that some node of the fleet polls within a step."""


@dataclass
class _Stream:
    engine: int
    reserved_at_s: float
    prefilled_at_s: float
    ends_at_s: float = 0.0


@dataclass
class _Fleet:
    moves_overbooked: bool
    rng: random.Random = field(default_factory=lambda: random.Random(5))
    now_s: float = 0.0
    prefilling: list[_Stream] = field(default_factory=list)
    running: list[_Stream] = field(default_factory=list)
    served: int = 0
    refused: int = 0

    def run(self, until_s: float) -> None:
        while self.now_s < until_s:
            self.now_s += STEP_S
            self.running = [
                active
                for active in self.running
                if active.ends_at_s > self.now_s
            ]
            for stream in tuple(self.prefilling):
                if stream.prefilled_at_s <= self.now_s:
                    self.prefilling.remove(stream)
                    self._decode(stream)
            if self.rng.random() < POLL_PROBABILITY_PER_STEP:
                self._place()

    def _load(self, engine: int, seen_s: float) -> UpstreamLoad:
        count = sum(
            active.engine == engine and active.reserved_at_s <= seen_s
            for active in (*self.prefilling, *self.running)
        )
        return UpstreamLoad(count, 0, count * STREAM_TOKENS)

    def _engine_with_memory(self, seen_s: float) -> int | None:
        memory = [
            self._load(engine, seen_s).memory_tokens
            for engine in range(ENGINES)
        ]
        best = min(range(ENGINES), key=memory.__getitem__)
        has_memory = memory[best] + STREAM_TOKENS <= USABLE_TOKENS
        return best if has_memory else None

    def _place(self) -> None:
        engine = self._engine_with_memory(self.now_s - REPORT_DELAY_S)
        if engine is not None:
            prefilled_at_s = self.now_s + PREFILL_S
            self.prefilling.append(_Stream(engine, self.now_s, prefilled_at_s))

    def _decode(self, stream: _Stream) -> None:
        load = self._load(stream.engine, self.now_s)
        load.add(UpstreamLoad(1, 0, STREAM_TOKENS))
        is_unplaced = stream.engine == UNPLACED
        if is_unplaced or (
            self.moves_overbooked and is_overbooked(load, TRAITS)
        ):
            free_engine = self._engine_with_memory(self.now_s)
            if free_engine is not None:
                stream.engine = free_engine
            elif self.now_s < stream.reserved_at_s + HANDLE_LIFETIME_S:
                stream.engine = UNPLACED
                stream.prefilled_at_s = self.now_s + POLL_S
                self.prefilling.append(stream)
                return
        runs = sum(active.engine == stream.engine for active in self.running)
        if (runs + 1) * STREAM_TOKENS > USABLE_TOKENS:
            self.refused += 1
            return
        stream.ends_at_s = self.now_s + RESIDENCE_S
        self.running.append(stream)
        self.served += 1


def test_moving_overbooked_streams_saves_prefilled_prompts() -> None:
    without_moves, with_moves = (
        _Fleet(moves_overbooked=False),
        _Fleet(moves_overbooked=True),
    )
    without_moves.run(20.0)
    with_moves.run(20.0)
    assert without_moves.refused > 20
    assert with_moves.refused < without_moves.refused / 2
    assert with_moves.served >= without_moves.served
