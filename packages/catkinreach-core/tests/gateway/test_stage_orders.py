"""Stage plan of the engines and election of the node that orders changes.

Load pattern: many long prompts fill the decode engines while prefill
engines are idle; meanwhile nodes join, leave and lose contact.
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


def _engines(prefill_engines: int, decode_engines: int) -> list[Upstream]:
    return [
        make_upstream(f'r{number}', stage=Stage.PREFILL)
        for number in range(prefill_engines)
    ] + [
        make_upstream(f'd{number}', stage=Stage.DECODE)
        for number in range(decode_engines)
    ]


def test_number_of_prefill_engines_follows_memory_turnover() -> None:
    assert wanted_prefill_engines(6, TRAITS) == 2
    assert wanted_prefill_engines(5, TRAITS) == 1
    assert wanted_prefill_engines(1, TRAITS) == 0


@pytest.mark.parametrize('engines', range(1, 46))
def test_planned_throughput_is_close_to_the_best(engines: int) -> None:
    planned = throughput(
        wanted_prefill_engines(engines, TRAITS), engines, TRAITS
    )
    best = max(throughput(count, engines, TRAITS) for count in range(engines))
    assert planned >= 0.95 * best


def test_half_the_engines_for_prefill_lower_the_throughput() -> None:
    planned = throughput(wanted_prefill_engines(6, TRAITS), 6, TRAITS)
    assert throughput(3, 6, TRAITS) < 0.8 * planned


def test_surplus_prefill_engine_is_chosen_once() -> None:
    engines = _engines(3, 3)
    first = surplus_prefill_engine(engines, TRAITS, ())
    assert first is not None
    assert first.stage is Stage.PREFILL
    assert surplus_prefill_engine(engines, TRAITS, (first.upstream_id,)) is None


def test_no_engine_is_chosen_where_the_stages_fit() -> None:
    assert surplus_prefill_engine(_engines(2, 4), TRAITS, ()) is None
    assert surplus_prefill_engine(_engines(0, 6), TRAITS, ()) is None


def test_only_a_lasting_surplus_is_reported() -> None:
    surplus = SurplusDebouncer()

    def sample(now_s: float, *, is_surplus: bool) -> bool:
        return surplus.has_lasted(SERVICE, is_surplus=is_surplus, now_s=now_s)

    assert not sample(0.0, is_surplus=True)
    assert not sample(STEADY_S - 0.5, is_surplus=False)
    assert not sample(STEADY_S, is_surplus=True)
    assert sample(2 * STEADY_S, is_surplus=True)


def test_switching_engine_is_unavailable_until_its_time_is_over() -> None:
    switching, engine = SwitchingEngines(), UpstreamId('r1')
    switching.add(engine, 5.0, 0.0)
    peer = SwitchingEngines()
    peer.merge_peer(switching.remaining_s(1.0), 100.0)
    assert peer.current(103.9) == {engine}
    assert not peer.current(104.1)
    switching.remove(engine)
    assert not switching.current(1.0)


def test_leader_needs_a_majority_for_longer_than_a_lease() -> None:
    election = LeaderElection('a')
    leads = [
        election.update(['a', 'a'], members=3, now_s=step * TICK_S)
        for step in range(20)
    ]
    first = leads.index(True)
    assert first * TICK_S >= LEAD_AFTER_S
    assert not election.update(['a'], members=3, now_s=6.1)
    assert not election.update(['a', 'a'], members=3, now_s=6.4)


def test_suspended_leader_waits_again() -> None:
    election = LeaderElection('a')
    for step in range(20):
        election.update(['a'], members=1, now_s=step * TICK_S)
    assert not election.update(['a'], members=1, now_s=20 * TICK_S + 4.0)


def test_two_nodes_never_lead_within_a_lease() -> None:
    """Cuts links at random; a peer's vote counts until the peer is silent."""
    for seed in range(30):
        _check_cuts(random.Random(seed))


class _Cluster:
    """Five nodes that exchange votes except over links that are cut."""

    def __init__(self) -> None:
        self.nodes = ['a', 'b', 'c', 'd', 'e']
        self.elections = {node: LeaderElection(node) for node in self.nodes}
        self.received: dict[tuple[str, str], tuple[float, str]] = {}
        self.votes = dict.fromkeys(self.nodes, '')
        self.cut: set[frozenset[str]] = set()

    def is_leader(self, node: str, now_s: float) -> bool:
        responsive = [
            peer
            for peer in self.nodes
            if (node, peer) in self.received
            and now_s - self.received[node, peer][0] <= SILENT_AFTER_S
        ]
        self.votes[node] = self.elections[node].vote(responsive)
        votes = [self.votes[node]]
        votes += [self.received[node, peer][1] for peer in responsive]
        return self.elections[node].update(votes, members=5, now_s=now_s)

    def exchange_votes(self, now_s: float) -> None:
        for node, peer in permutations(self.nodes, 2):
            if frozenset((node, peer)) not in self.cut:
                self.received[node, peer] = (now_s, self.votes[peer])


def _check_cuts(rng: random.Random) -> None:
    cluster = _Cluster()
    last_leader: tuple[str, float] | None = None
    for step in range(400):
        now_s = step * TICK_S
        if rng.random() < 0.05:
            cluster.cut = {
                frozenset(rng.sample(cluster.nodes, 2))
                for _ in range(rng.randrange(8))
            }
        for node in cluster.nodes:
            if not cluster.is_leader(node, now_s):
                continue
            if last_leader is not None and last_leader[0] != node:
                assert now_s - last_leader[1] > LEASE_S - TICK_S
            last_leader = (node, now_s)
        cluster.exchange_votes(now_s)
