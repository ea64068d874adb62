"""Streams that many nodes place before they hear of each other's.

Load pattern: 40 streams a second at 80 nodes, which hear of each other's
placements 0.1 s later, on 16 decode engines that are two thirds full.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.placement import (
    Candidate,
    StreamNeed,
    is_overbooked,
    plan_stream,
)
from catkinreach_core.gateway.sampled_placement import (
    SAMPLED_ENGINES,
    sample_engines,
)
from catkinreach_core.gateway.upstream import Stage
from catkinreach_core.gateway.view import KnownUpstream
from catkinreach_standins.fakes.gateway import TRAITS, make_upstream

DECODE_ENGINES = 16
PREFILL_ENGINES = 6
STREAMS_PER_S = 40.0
HEARD_AFTER_S = 0.1
PREFILL_S = 0.1
STREAMS = 3000
FILL = 0.66
NEED = StreamNeed(
    prompt_tokens=3000, memory_tokens=TRAITS.memory_tokens // 6 - 200
)
RESIDENCE_S = FILL * DECODE_ENGINES * 6 / STREAMS_PER_S


@dataclass
class _Placed:
    engine: str
    placed_s: float
    decoded_s: float
    ends_s: float


class Fleet:
    """Places streams with a late view of the others."""

    def __init__(self, *, samples: bool, seed: int) -> None:
        """Starts with idle engines.

        Args:
            samples: Whether nodes consider a sample of the engines.
            seed: Seed of the arrivals and samples.
        """
        self._samples = samples
        self._rng = random.Random(seed)
        self._known = {
            name: KnownUpstream(
                upstream=make_upstream(name, stage=stage), cold_until_s=0.0
            )
            for stage, count in (
                (Stage.DECODE, DECODE_ENGINES),
                (Stage.PREFILL, PREFILL_ENGINES),
            )
            for name in (f'{stage.value}-{number}' for number in range(count))
        }
        self._placed: list[_Placed] = []
        self.gave_way = 0
        self.unplaced = 0

    def run(self) -> None:
        """Places the streams; each gives way if its engine is overbooked."""
        now_s = 0.0
        for _ in range(STREAMS):
            now_s += self._rng.expovariate(STREAMS_PER_S)
            self._decode(now_s)
            self._placed = [one for one in self._placed if one.ends_s > now_s]
            self._place(now_s)

    def _load(self, name: str, seen_s: float) -> UpstreamLoad:
        count = sum(
            one.engine == name and one.placed_s <= seen_s
            for one in self._placed
        )
        return UpstreamLoad(count, 0, count * NEED.memory_tokens)

    def _place(self, now_s: float) -> None:
        candidates = [
            Candidate(
                known=known,
                load=self._load(name, now_s - HEARD_AFTER_S),
                penalty=1.0,
                is_cold=False,
            )
            for name, known in self._known.items()
        ]
        if self._samples:
            candidates = sample_engines(candidates, NEED, TRAITS, self._rng)
        plan = plan_stream(candidates, NEED, TRAITS)
        if plan is None:
            self.unplaced += 1
            return
        self._placed.append(
            _Placed(
                plan.decode.upstream.upstream_id,
                now_s,
                now_s + PREFILL_S,
                now_s + PREFILL_S + RESIDENCE_S * self._rng.uniform(0.3, 1.7),
            )
        )

    def _decode(self, now_s: float) -> None:
        for one in tuple(self._placed):
            if one.decoded_s <= now_s and one.placed_s >= 0:
                load = self._load(one.engine, now_s)
                one.placed_s = -1.0
                if is_overbooked(load, TRAITS):
                    self.gave_way += 1
                    self._placed.remove(one)


# Prompts were read, and their engine was full then.
@pytest.mark.parametrize('seed', [1, 2])
def test_nodes_that_hear_late_fill_the_same_engine(seed: int) -> None:
    before, after = (
        Fleet(samples=samples, seed=seed) for samples in (False, True)
    )
    before.run()
    after.run()
    assert after.gave_way < before.gave_way / 2
    assert after.unplaced <= before.unplaced


def test_sample_has_engines_of_both_stages_with_room() -> None:
    candidates = [
        Candidate(
            known=KnownUpstream(
                upstream=make_upstream(f'{stage.value}-{number}', stage=stage),
                cold_until_s=0.0,
            ),
            load=UpstreamLoad(0, 0, TRAITS.memory_tokens * (number % 2)),
            penalty=1.0,
            is_cold=False,
        )
        for stage in (Stage.DECODE, Stage.PREFILL)
        for number in range(20)
    ]
    sample = sample_engines(candidates, NEED, TRAITS, random.Random(1))
    decode = [one for one in sample if one.can_decode]
    assert len(decode) == SAMPLED_ENGINES
    assert all(not one.load.memory_tokens for one in decode)
    assert len(sample) == 2 * SAMPLED_ENGINES
