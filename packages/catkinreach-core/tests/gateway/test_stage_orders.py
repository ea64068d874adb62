"""Which engines only read, and which node may say so.

Load pattern: many long prompts fill the decode engines while prefill
engines stand idle; nodes come, go and lose each other meanwhile.
"""

from __future__ import annotations

import random
from itertools import permutations

import pytest

from catkinreach_core.gateway.leader_election import (
    LEAD_AFTER_S,
    LeaderElection,
)
from catkinreach_core.gateway.members import SILENT_AFTER_S
from catkinreach_core.gateway.stage_plan import (
    STEADY_S,
    SurplusDebouncer,
    surplus_prefill_engine,
    throughput,
    wanted_prefill_engines,
)
from catkinreach_core.gateway.switching_engines import SwitchingEngines
from catkinreach_core.gateway.upstream import Stage, Upstream
from catkinreach_core.ids import UpstreamId
from catkinreach_standins.fakes.gateway import SERVICE, TRAITS, make_upstream

LEASE_S = 3.0
TICK_S = 0.3


def _engines(readers: int, decoders: int) -> list[Upstream]:
    return [
        make_upstream(f'r{number}', stage=Stage.PREFILL)
        for number in range(readers)
    ] + [
        make_upstream(f'd{number}', stage=Stage.DECODE)
        for number in range(decoders)
    ]


def test_readers_follow_the_memory_that_is_turned_over() -> None:
    assert wanted_prefill_engines(6, TRAITS) == 2
    assert wanted_prefill_engines(5, TRAITS) == 1
    assert wanted_prefill_engines(1, TRAITS) == 0


@pytest.mark.parametrize('engines', range(1, 46))
def test_plan_passes_on_nearly_the_most(engines: int) -> None:
    planned = throughput(
        wanted_prefill_engines(engines, TRAITS), engines, TRAITS
    )
    best = max(throughput(one, engines, TRAITS) for one in range(engines))
    assert planned >= 0.95 * best


def test_half_the_engines_as_readers_pass_on_much_less() -> None:
    planned = throughput(wanted_prefill_engines(6, TRAITS), 6, TRAITS)
    assert throughput(3, 6, TRAITS) < 0.8 * planned


def test_surplus_reader_is_ordered_once() -> None:
    engines = _engines(3, 3)
    first = surplus_prefill_engine(engines, TRAITS, ())
    assert first is not None
    assert first.stage is Stage.PREFILL
    assert surplus_prefill_engine(engines, TRAITS, (first.upstream_id,)) is None


def test_no_order_where_the_stages_fit() -> None:
    assert surplus_prefill_engine(_engines(2, 4), TRAITS, ()) is None
    assert surplus_prefill_engine(_engines(0, 6), TRAITS, ()) is None


def test_only_a_surplus_that_lasts_is_acted_on() -> None:
    surplus = SurplusDebouncer()

    def look(now_s: float, *, is_surplus: bool) -> bool:
        return surplus.has_lasted(SERVICE, is_surplus=is_surplus, now_s=now_s)

    assert not look(0.0, is_surplus=True)
    assert not look(STEADY_S - 0.5, is_surplus=False)
    assert not look(STEADY_S, is_surplus=True)
    assert look(2 * STEADY_S, is_surplus=True)


def test_switching_engine_is_out_until_its_time_is_over() -> None:
    switching, one = SwitchingEngines(), UpstreamId('r1')
    switching.add(one, 5.0, 0.0)
    peer = SwitchingEngines()
    peer.merge_peer(switching.remaining_s(1.0), 100.0)
    assert peer.current(103.9) == {one}
    assert not peer.current(104.1)
    switching.remove(one)
    assert not switching.current(1.0)


def test_holder_needs_a_majority_for_longer_than_a_lease() -> None:
    holder = LeaderElection('a')
    held = [
        holder.update(['a', 'a'], members=3, now_s=step * TICK_S)
        for step in range(20)
    ]
    first = held.index(True)
    assert first * TICK_S >= LEAD_AFTER_S
    assert not holder.update(['a'], members=3, now_s=6.1)
    assert not holder.update(['a', 'a'], members=3, now_s=6.4)


def test_holder_that_was_suspended_waits_anew() -> None:
    holder = LeaderElection('a')
    for step in range(20):
        holder.update(['a'], members=1, now_s=step * TICK_S)
    assert not holder.update(['a'], members=1, now_s=20 * TICK_S + 4.0)


def test_two_nodes_never_hold_within_a_lease() -> None:
    """Cuts links at random; the votes of a peer stay until it is silent."""
    for seed in range(30):
        _check_cuts(random.Random(seed))


class _Cluster:
    """Five nodes that hear each other except over links that are cut."""

    def __init__(self) -> None:
        self.nodes = ['a', 'b', 'c', 'd', 'e']
        self.holders = {node: LeaderElection(node) for node in self.nodes}
        self.heard: dict[tuple[str, str], tuple[float, str]] = {}
        self.named = dict.fromkeys(self.nodes, '')
        self.cut: set[frozenset[str]] = set()

    def holds(self, node: str, now_s: float) -> bool:
        heard = [
            peer
            for peer in self.nodes
            if (node, peer) in self.heard
            and now_s - self.heard[node, peer][0] <= SILENT_AFTER_S
        ]
        self.named[node] = self.holders[node].vote(heard)
        votes = [self.named[node]]
        votes += [self.heard[node, peer][1] for peer in heard]
        return self.holders[node].update(votes, members=5, now_s=now_s)

    def tell(self, now_s: float) -> None:
        for node, peer in permutations(self.nodes, 2):
            if frozenset((node, peer)) not in self.cut:
                self.heard[node, peer] = (now_s, self.named[peer])


def _check_cuts(rng: random.Random) -> None:
    cluster = _Cluster()
    last_held: tuple[str, float] | None = None
    for step in range(400):
        now_s = step * TICK_S
        if rng.random() < 0.05:
            cluster.cut = {
                frozenset(rng.sample(cluster.nodes, 2))
                for _ in range(rng.randrange(8))
            }
        for node in cluster.nodes:
            if not cluster.holds(node, now_s):
                continue
            if last_held is not None and last_held[0] != node:
                assert now_s - last_held[1] > LEASE_S - TICK_S
            last_held = (node, now_s)
        cluster.tell(now_s)
