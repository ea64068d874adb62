"""Decode engines that are filled while prompts are read for them.

Load pattern: memory is nearly full everywhere, and many nodes look for room.
Those that look within the time that news takes set the same room aside; the
engine refuses the one that comes last, and its prompt was read for nothing.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.placement import MEMORY_USE, is_overbooked
from catkinreach_standins.fakes.gateway import TRAITS

ENGINES = 8
STREAM_TOKENS = 5600
ROOM_TOKENS = TRAITS.memory_tokens * MEMORY_USE
NEWS_S = 0.01
PREFILL_S = 0.15
HANDLE_UNTIL_S = PREFILL_S + 0.4
LOOK_S = 0.02
RESIDENCE_S = 3.0
NOWHERE = -1
STEP_S = 0.001
LOOKS_PER_STEP = 0.06
"""Chance that some node of the fleet looks for room within a step."""


@dataclass
class _Stream:
    engine: int
    reserved_at_s: float
    read_at_s: float
    ends_at_s: float = 0.0


@dataclass
class _Fleet:
    gives_way: bool
    rng: random.Random = field(default_factory=lambda: random.Random(5))
    now_s: float = 0.0
    reading: list[_Stream] = field(default_factory=list)
    running: list[_Stream] = field(default_factory=list)
    served: int = 0
    refused: int = 0

    def run(self, for_s: float) -> None:
        while self.now_s < for_s:
            self.now_s += STEP_S
            self.running = [
                one for one in self.running if one.ends_at_s > self.now_s
            ]
            for stream in tuple(self.reading):
                if stream.read_at_s <= self.now_s:
                    self.reading.remove(stream)
                    self._decode(stream)
            if self.rng.random() < LOOKS_PER_STEP:
                self._place()

    def _load(self, engine: int, seen_s: float) -> UpstreamLoad:
        count = sum(
            one.engine == engine and one.reserved_at_s <= seen_s
            for one in (*self.reading, *self.running)
        )
        return UpstreamLoad(count, 0, count * STREAM_TOKENS)

    def _with_room(self, seen_s: float) -> int | None:
        memory = [
            self._load(engine, seen_s).memory_tokens
            for engine in range(ENGINES)
        ]
        best = min(range(ENGINES), key=memory.__getitem__)
        has_room = memory[best] + STREAM_TOKENS <= ROOM_TOKENS
        return best if has_room else None

    def _place(self) -> None:
        engine = self._with_room(self.now_s - NEWS_S)
        if engine is not None:
            read_at_s = self.now_s + PREFILL_S
            self.reading.append(_Stream(engine, self.now_s, read_at_s))

    def _decode(self, stream: _Stream) -> None:
        load = self._load(stream.engine, self.now_s)
        load.add(UpstreamLoad(1, 0, STREAM_TOKENS))
        is_waiting = stream.engine == NOWHERE
        if is_waiting or (self.gives_way and is_overbooked(load, TRAITS)):
            other = self._with_room(self.now_s)
            if other is not None:
                stream.engine = other
            elif self.now_s < stream.reserved_at_s + HANDLE_UNTIL_S:
                stream.engine = NOWHERE
                stream.read_at_s = self.now_s + LOOK_S
                self.reading.append(stream)
                return
        runs = sum(one.engine == stream.engine for one in self.running)
        if (runs + 1) * STREAM_TOKENS > ROOM_TOKENS:
            self.refused += 1
            return
        stream.ends_at_s = self.now_s + RESIDENCE_S
        self.running.append(stream)
        self.served += 1


def test_giving_way_saves_prompts_that_were_read() -> None:
    before, after = _Fleet(gives_way=False), _Fleet(gives_way=True)
    before.run(20.0)
    after.run(20.0)
    assert before.refused > 20
    assert after.refused < before.refused / 2
    assert after.served >= before.served
