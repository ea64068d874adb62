"""Compares methods to enforce a workspace's limits over all nodes.

Run as ``python -m catkinreach_standins.bench.limits_compare --seed=1``.
All methods get the same requests. In the first trials these are the requests
that a single bucket for the whole fleet admits, so that every refusal is
wrongful. The last trial sends several times the rate.
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
    FixedShareFleet,
    IdealBucket,
    SliceFleet,
    Traffic,
    VirtualClock,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .limits_model import Arrival, LimitModel, TrialRecord

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
FIXED_SLICE_POLICY = SlicePolicy(
    fixed_share=0.05,
    queue_timeout_s=0.05,
    recovery_timeout_s=0.05,
    max_refill_wait_s=0.05,
)


@dataclass(frozen=True, slots=True)
class TrialResult:
    """Results of one method for one list of requests.

    Attributes:
        name: Label of the method.
        admitted: Admitted requests after the warm-up.
        refused: Refused requests after the warm-up.
        refused_after_loss: Refused requests shortly after the node loss.
        offered_after_loss: Arrivals shortly after the node loss.
        p99_wait_s: 99th percentile of the time in the queue.
        violations: Windows in which more than a limit was admitted.
        messages: Slice requests that the nodes sent.
    """

    name: str
    admitted: int
    refused: int
    refused_after_loss: int
    offered_after_loss: int
    p99_wait_s: float
    violations: int
    messages: int

    @classmethod
    def from_record(
        cls, name: str, record: TrialRecord, offered: list[Arrival]
    ) -> TrialResult:
        """Computes the results of a trial; the warm-up is left out."""
        waits = sorted(
            wait_s for at_s, wait_s in record.waits if at_s >= WARM_UP_S
        )
        limit_r, limit_t = LIMITS.units
        return cls(
            name=name,
            admitted=sum(entry.at_s >= WARM_UP_S for entry in record.requests),
            refused=sum(entry.at_s >= WARM_UP_S for entry in record.refused),
            refused_after_loss=sum(
                _is_after_loss(entry.at_s) for entry in record.refused
            ),
            offered_after_loss=sum(
                _is_after_loss(entry.at_s) for entry in offered
            ),
            p99_wait_s=waits[int(0.99 * (len(waits) - 1))],
            violations=len(
                window_violations(record.requests, limit_r.rate, limit_r.burst)
            )
            + len(
                window_violations(record.tokens, limit_t.rate, limit_t.burst)
            ),
            messages=record.messages,
        )


def _is_after_loss(at_s: float) -> bool:
    return LOSS_AT_S <= at_s < LOSS_AT_S + LOSS_WINDOW_S


def conformant_arrivals(seed: int, load: float) -> list[Arrival]:
    """Returns requests that a single bucket for the fleet admits.

    ``load`` is the rate of the drawn requests, as a share of the limit.
    """
    drawn = Traffic(load * LIMITS.requests.rate, WEIGHTS, UNTIL_S).draw(
        random.Random(seed)
    )
    bucket = IdealBucket(LIMITS)
    return [arrival for arrival in drawn if bucket.admits(arrival)]


def overload_arrivals(seed: int) -> list[Arrival]:
    """Returns requests at ``OVERLOAD`` times the rate limit."""
    return Traffic(OVERLOAD * LIMITS.requests.rate, WEIGHTS, UNTIL_S / 2).draw(
        random.Random(seed)
    )


def run_trial(
    name: str,
    build: Callable[[VirtualClock], SliceFleet | FixedShareFleet],
    arrivals: list[Arrival],
    *,
    lost: int | None = 0,
) -> TrialResult:
    """Runs one method; node ``lost`` fails at ``LOSS_AT_S``."""
    clock = VirtualClock()
    fleet = build(clock)
    for arrival in arrivals:
        _schedule(clock, fleet, arrival, lost)
    if lost is not None:
        clock.schedule(LOSS_AT_S, lambda: fleet.fail_node(lost, OWNER_GAP_S))
    clock.run(UNTIL_S + 20)
    return TrialResult.from_record(name, fleet.record, arrivals)


def _schedule(
    clock: VirtualClock, fleet: LimitModel, arrival: Arrival, lost: int | None
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
    clock.schedule(arrival.at_s, lambda: fleet.handle_arrival(arrival))


def _slice_fleet_builder(
    policy: SlicePolicy,
) -> Callable[[VirtualClock], SliceFleet]:
    def build(clock: VirtualClock) -> SliceFleet:
        return SliceFleet(clock, LIMITS, policy, node_count=len(WEIGHTS))

    return build


def _build_fixed_shares(clock: VirtualClock) -> FixedShareFleet:
    return FixedShareFleet(clock, LIMITS, node_count=MAX_NODES)


METHODS: tuple[
    tuple[str, Callable[[VirtualClock], SliceFleet | FixedShareFleet]], ...
] = (
    ('static shares', _build_fixed_shares),
    ('owner, fixed slices', _slice_fleet_builder(FIXED_SLICE_POLICY)),
    ('owner, slices that follow demand', _slice_fleet_builder(SlicePolicy())),
)


def compare(arrivals: list[Arrival], *, lost: int | None) -> list[TrialResult]:
    """Runs every method on the same requests."""
    return [
        run_trial(name, build, arrivals, lost=lost) for name, build in METHODS
    ]


def _print_results(title: str, results: list[TrialResult]) -> None:
    sys.stdout.write(f'{title}\n')
    for result in results:
        sys.stdout.write(
            f'  {result.name:34} admitted {result.admitted:5}'
            f' refused {result.refused:5}'
            f' after loss {result.refused_after_loss:4}'
            f'/{result.offered_after_loss:4}'
            f' p99 wait {result.p99_wait_s:6.3f} s'
            f' violations {result.violations}'
            f' messages {result.messages}\n'
        )


def main(argv: list[str]) -> None:
    """Prints the comparison."""
    values = new_flag_values()
    flags.DEFINE_integer('seed', 1, 'seed', flag_values=values)
    values(argv)
    for load in (0.5, 0.8, 0.95):
        arrivals = conformant_arrivals(values.seed, load)
        _print_results(
            f'within the rate, load {load}:', compare(arrivals, lost=0)
        )
        _print_results(
            f'within the rate, load {load}, no loss:',
            compare(arrivals, lost=None),
        )
    _print_results(
        f'{OVERLOAD:g} times the rate, no loss:',
        compare(overload_arrivals(values.seed), lost=None),
    )


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('compare', 'conformant_arrivals', 'main', 'overload_arrivals')
