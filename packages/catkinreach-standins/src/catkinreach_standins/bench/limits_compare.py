"""Compares ways to keep a workspace's limits over all nodes.

Run as ``python -m catkinreach_standins.bench.limits_compare --seed=1``.
All ways get the same requests: those that one bucket for the whole fleet
would admit, so that every refusal is wrongful; then several times the rate.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

from absl import flags

from catkinreach_core.limits.parameters import (
    SlicePolicy,
    UnitLimit,
    WorkspaceLimits,
)
from catkinreach_core.limits.window_checker import window_violations

from ..command_line import new_flag_values
from .limits_model import (
    Clock,
    IdealBucket,
    SliceFleet,
    StaticFleet,
    Traffic,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .limits_model import Admitter, Arrival, TrialLog

LIMITS = WorkspaceLimits(
    requests=UnitLimit(20, 80), tokens=UnitLimit(40_000, 120_000)
)
WEIGHTS = (12.0, 4.0, 2.0, 1.0, 1.0, 0.0)
MAX_NODES = 9
WARM_UP_S = 20.0
LOSS_AT_S = 100.0
LOSS_WINDOW_S = 10.0
OWNER_GAP_S = 4.5
UNTIL_S = 200.0
OVERLOAD = 4.0
FIXED = SlicePolicy(
    fixed_share=0.05,
    queue_timeout_s=0.05,
    recovery_timeout_s=0.05,
    max_refill_wait_s=0.05,
)


@dataclass(frozen=True, slots=True)
class Score:
    """Figures of one way under one traffic."""

    name: str
    admitted: int
    refused: int
    refused_after_loss: int
    offered_after_loss: int
    p99_wait_s: float
    violations: int
    messages: int

    @classmethod
    def from_log(
        cls, name: str, log: TrialLog, offered: list[Arrival]
    ) -> Score:
        """Counts a trial's log, the warm-up left out."""
        waits = sorted(
            wait_s for at_s, wait_s in log.waits if at_s >= WARM_UP_S
        )
        limit_r, limit_t = LIMITS.units
        return cls(
            name=name,
            admitted=sum(one.at_s >= WARM_UP_S for one in log.requests),
            refused=sum(one.at_s >= WARM_UP_S for one in log.refused),
            refused_after_loss=sum(
                _is_after_loss(one.at_s) for one in log.refused
            ),
            offered_after_loss=sum(_is_after_loss(one.at_s) for one in offered),
            p99_wait_s=waits[int(0.99 * (len(waits) - 1))],
            violations=len(
                window_violations(log.requests, limit_r.rate, limit_r.burst)
            )
            + len(window_violations(log.tokens, limit_t.rate, limit_t.burst)),
            messages=log.messages,
        )


def _is_after_loss(at_s: float) -> bool:
    return LOSS_AT_S <= at_s < LOSS_AT_S + LOSS_WINDOW_S


def conformant_arrivals(seed: int, load: float) -> list[Arrival]:
    """Returns requests that one bucket over the fleet would admit."""
    drawn = Traffic(load * LIMITS.requests.rate, WEIGHTS, UNTIL_S).draw(
        random.Random(seed)
    )
    bucket = IdealBucket(LIMITS)
    return [arrival for arrival in drawn if bucket.admits(arrival)]


def overload_arrivals(seed: int) -> list[Arrival]:
    """Returns requests at several times the rate."""
    return Traffic(OVERLOAD * LIMITS.requests.rate, WEIGHTS, UNTIL_S / 2).draw(
        random.Random(seed)
    )


def run_trial(
    name: str,
    build: Callable[[Clock], SliceFleet | StaticFleet],
    arrivals: list[Arrival],
    *,
    lost: int | None = 0,
) -> Score:
    """Runs one way; node ``lost`` goes at ``LOSS_AT_S``."""
    clock = Clock()
    fleet = build(clock)
    for arrival in arrivals:
        _plan(clock, fleet, arrival, lost)
    if lost is not None:
        clock.at(LOSS_AT_S, lambda: fleet.lose(lost, OWNER_GAP_S))
    clock.run(UNTIL_S + 20)
    return Score.from_log(name, fleet.log, arrivals)


def _plan(
    clock: Clock, fleet: Admitter, arrival: Arrival, lost: int | None
) -> None:
    if arrival.node == lost and arrival.at_s >= LOSS_AT_S:
        node = 1 + int(arrival.at_s * 1000) % (len(WEIGHTS) - 1)
        arrival = type(arrival)(
            at_s=arrival.at_s,
            node=node,
            cost=arrival.cost,
            used_tokens=arrival.used_tokens,
            runs_s=arrival.runs_s,
        )
    clock.at(arrival.at_s, lambda: fleet.arrive(arrival))


def _slices(policy: SlicePolicy) -> Callable[[Clock], SliceFleet]:
    def build(clock: Clock) -> SliceFleet:
        return SliceFleet(clock, LIMITS, policy, node_count=len(WEIGHTS))

    return build


def _static(clock: Clock) -> StaticFleet:
    return StaticFleet(clock, LIMITS, node_count=MAX_NODES)


WAYS: tuple[tuple[str, Callable[[Clock], SliceFleet | StaticFleet]], ...] = (
    ('static shares', _static),
    ('owner, fixed slices', _slices(FIXED)),
    ('owner, slices that follow demand', _slices(SlicePolicy())),
)


def compare(arrivals: list[Arrival], *, lost: int | None) -> list[Score]:
    """Runs every way on the same requests."""
    return [run_trial(name, build, arrivals, lost=lost) for name, build in WAYS]


def _print(title: str, scores: list[Score]) -> None:
    sys.stdout.write(f'{title}\n')
    for score in scores:
        sys.stdout.write(
            f'  {score.name:34} admitted {score.admitted:5}'
            f' refused {score.refused:5}'
            f' after loss {score.refused_after_loss:4}'
            f'/{score.offered_after_loss:4}'
            f' p99 wait {score.p99_wait_s:6.3f} s'
            f' violations {score.violations}'
            f' messages {score.messages}\n'
        )


def main(argv: list[str]) -> None:
    """Prints the comparison."""
    values = new_flag_values()
    flags.DEFINE_integer('seed', 1, 'seed', flag_values=values)
    values(argv)
    for load in (0.5, 0.8, 0.95):
        arrivals = conformant_arrivals(values.seed, load)
        _print(f'within the rate, load {load}:', compare(arrivals, lost=0))
        _print(
            f'within the rate, load {load}, no loss:',
            compare(arrivals, lost=None),
        )
    _print(
        f'{OVERLOAD:g} times the rate, no loss:',
        compare(overload_arrivals(values.seed), lost=None),
    )


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('compare', 'conformant_arrivals', 'main', 'overload_arrivals')
