"""Compares methods that enforce a workspace's limits over all nodes.

Run as ``python -m catkinreach_standins.bench.limits_compare --seed=1``.
All methods get the same requests. In the first trials these are the requests
that a single token bucket for the whole fleet admits, so that every refusal is
wrongful. The last trial sends several times the rate limit.
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
NODE_WEIGHTS = (12.0, 4.0, 2.0, 1.0, 1.0, 0.0)
MAX_NODES = 9
WARM_UP_S = 20.0
NODE_LOSS_AT_S = 100.0
LOSS_WINDOW_S = 10.0
OWNERSHIP_GAP_S = 4.5
"""Time from the loss of the owner until another node is the owner."""

TRAFFIC_END_S = 200.0
OVERLOAD_FACTOR = 4.0
FIXED_SLICE_POLICY = SlicePolicy(
    fixed_share=0.05,
    queue_timeout_s=0.05,
    recovery_timeout_s=0.05,
    max_refill_wait_s=0.05,
)


@dataclass(frozen=True, slots=True)
class TrialResult:
    """Results of one method for one list of arrivals.

    Attributes:
        name: Label of the method.
        admitted: Admitted requests after the warm-up.
        refused: Refused requests after the warm-up.
        refused_after_loss: Refused requests shortly after the node loss.
        offered_after_loss: Arrivals shortly after the node loss.
        p99_wait_s: 99th percentile of the time in the queue.
        violations: Time windows in which more than a limit was admitted.
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
        """Computes the results of a trial.

        Admissions, refusals and waits of the warm-up are left out.
        """
        waits = sorted(
            wait_s for at_s, wait_s in record.waits if at_s >= WARM_UP_S
        )
        request_limit, token_limit = LIMITS.units
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
                window_violations(
                    record.requests, request_limit.rate, request_limit.burst
                )
            )
            + len(
                window_violations(
                    record.tokens, token_limit.rate, token_limit.burst
                )
            ),
            messages=record.messages,
        )


def _is_after_loss(at_s: float) -> bool:
    return NODE_LOSS_AT_S <= at_s < NODE_LOSS_AT_S + LOSS_WINDOW_S


def draw_conformant_arrivals(seed: int, load: float) -> list[Arrival]:
    """Draws requests that a single token bucket for the fleet admits.

    ``load`` is the rate before admission as a share of the rate limit.
    """
    drawn = Traffic(
        load * LIMITS.requests.rate, NODE_WEIGHTS, TRAFFIC_END_S
    ).draw(random.Random(seed))
    bucket = IdealBucket(LIMITS)
    return [arrival for arrival in drawn if bucket.try_admit(arrival)]


def draw_overload_arrivals(seed: int) -> list[Arrival]:
    """Draws requests at ``OVERLOAD_FACTOR`` times the rate limit."""
    return Traffic(
        OVERLOAD_FACTOR * LIMITS.requests.rate, NODE_WEIGHTS, TRAFFIC_END_S / 2
    ).draw(random.Random(seed))


def run_trial(
    name: str,
    build_fleet: Callable[[VirtualClock], SliceFleet | FixedShareFleet],
    arrivals: list[Arrival],
    *,
    lost_node: int | None = 0,
) -> TrialResult:
    """Runs one method; node ``lost_node`` fails at ``NODE_LOSS_AT_S``."""
    clock = VirtualClock()
    fleet = build_fleet(clock)
    for arrival in arrivals:
        _schedule_arrival(clock, fleet, arrival, lost_node)
    if lost_node is not None:
        clock.schedule(
            NODE_LOSS_AT_S, lambda: fleet.fail_node(lost_node, OWNERSHIP_GAP_S)
        )
    clock.run(TRAFFIC_END_S + 20)
    return TrialResult.from_record(name, fleet.record, arrivals)


def _schedule_arrival(
    clock: VirtualClock,
    fleet: LimitModel,
    arrival: Arrival,
    lost_node: int | None,
) -> None:
    if arrival.node == lost_node and arrival.at_s >= NODE_LOSS_AT_S:
        node = 1 + int(arrival.at_s * 1000) % (len(NODE_WEIGHTS) - 1)
        arrival = type(arrival)(
            at_s=arrival.at_s,
            node=node,
            cost=arrival.cost,
            used_tokens=arrival.used_tokens,
            running_time_s=arrival.running_time_s,
        )
    clock.schedule(arrival.at_s, lambda: fleet.handle_arrival(arrival))


def _slice_fleet_builder(
    policy: SlicePolicy,
) -> Callable[[VirtualClock], SliceFleet]:
    def build_fleet(clock: VirtualClock) -> SliceFleet:
        return SliceFleet(clock, LIMITS, policy, node_count=len(NODE_WEIGHTS))

    return build_fleet


def _build_fixed_shares(clock: VirtualClock) -> FixedShareFleet:
    return FixedShareFleet(clock, LIMITS, node_count=MAX_NODES)


METHODS: tuple[
    tuple[str, Callable[[VirtualClock], SliceFleet | FixedShareFleet]], ...
] = (
    ('static shares', _build_fixed_shares),
    ('owner, fixed slices', _slice_fleet_builder(FIXED_SLICE_POLICY)),
    ('owner, slices that follow demand', _slice_fleet_builder(SlicePolicy())),
)


def compare_methods(
    arrivals: list[Arrival], *, lost_node: int | None
) -> list[TrialResult]:
    """Runs every method on the same arrivals."""
    return [
        run_trial(name, build_fleet, arrivals, lost_node=lost_node)
        for name, build_fleet in METHODS
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
        arrivals = draw_conformant_arrivals(values.seed, load)
        _print_results(
            f'within the rate, load {load}:',
            compare_methods(arrivals, lost_node=0),
        )
        _print_results(
            f'within the rate, load {load}, no loss:',
            compare_methods(arrivals, lost_node=None),
        )
    _print_results(
        f'{OVERLOAD_FACTOR:g} times the rate, no loss:',
        compare_methods(draw_overload_arrivals(values.seed), lost_node=None),
    )


if __name__ == '__main__':
    main(sys.argv)

__all__ = (
    'compare_methods',
    'draw_conformant_arrivals',
    'draw_overload_arrivals',
    'main',
)
