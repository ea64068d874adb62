"""Nodes tell each other of engines that leave, or ask for a pause."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from catkinreach_core.gateway.catalog import ServiceTraits
from catkinreach_core.gateway.gossip import (
    GossipMessage,
    Phase,
    decode_gossip,
    encode_gossip,
)
from catkinreach_core.gateway.load_replies import WARM_UP_S
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.peer_availability import (
    MAX_REPORTS,
    REPORT_S,
    REST_S,
    AvailabilityReport,
)
from catkinreach_core.gateway.placement import choose_plain_upstream
from catkinreach_core.ids import FailureDomainId
from catkinreach_node.gateway.peer_link import PeerLink
from catkinreach_standins.fakes.gateway import SERVICE, make_upstream
from catkinreach_standins.platform.deployment import idle_node
from catkinreach_standins.platform.fake_fleet import FakeFleet

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId
    from catkinreach_node.gateway.node import Node

PEER = '127.0.0.2'
ENGINE = make_upstream('one')
OTHER = make_upstream('two')
TRAITS = ServiceTraits(
    service_id=SERVICE, max_connections=8, health_path='', cold_per_s=0.0
)
PAUSE_S = 60.0
NODES = 120


class _Pair:
    """Two nodes; the first one's messages reach the second when told so."""

    def __init__(self, *upstreams: Upstream) -> None:
        self.now_s = 1000.0
        self.nodes = (idle_node(), idle_node())
        for node in self.nodes:
            node.clock = lambda: self.now_s
            for upstream in upstreams:
                node.view.put_upstream(upstream, self.now_s)
        self.links = tuple(PeerLink(node) for node in self.nodes)

    def tell(self, *, is_load_change: bool = False) -> GossipMessage:
        """Sends a message of the first node to the second; returns it."""
        message = self.links[0]._message(is_load_change=is_load_change)
        message.node = PEER
        data = encode_gossip(message)
        self.links[1].datagram_received(data, (PEER, 1))
        decoded = decode_gossip(data)
        assert isinstance(decoded, GossipMessage)
        return decoded


def _believe(node: Node, upstream: Upstream, *, leaves: bool) -> None:
    if leaves:
        node.availability.record_leaving(upstream)
    else:
        node.availability.record_pause(upstream, PAUSE_S, node.clock())


def _choose(node: Node) -> UpstreamId | None:
    """Returns the upstream that a plain request would be placed on."""
    candidates = node.candidates(SERVICE, TRAITS, set())
    known = choose_plain_upstream(
        candidates, FailureDomainId('here'), lambda: 0.0
    )
    return known.upstream.upstream_id if known else None


@pytest.mark.parametrize('leaves', [True, False])
def test_peer_pays_a_refusal_too(*, leaves: bool) -> None:
    pair = _Pair(ENGINE, OTHER)
    node = pair.nodes[1]
    node.loads.begin_work(OTHER.upstream_id, UpstreamLoad(1, 0, 0))
    assert _choose(node) == ENGINE.upstream_id
    _believe(pair.nodes[0], ENGINE, leaves=leaves)
    pair.tell()
    assert _choose(node) == OTHER.upstream_id


@pytest.mark.parametrize('leaves', [True, False])
def test_word_of_a_peer_shuts_out_a_sound_engine(*, leaves: bool) -> None:
    pair = _Pair(ENGINE)
    _believe(pair.nodes[0], ENGINE, leaves=leaves)
    pair.tell()
    assert _choose(pair.nodes[0]) is None
    assert _choose(pair.nodes[1]) == ENGINE.upstream_id


@pytest.mark.parametrize('leaves', [True, False])
def test_peer_that_is_wrong_keeps_an_engine_idle(*, leaves: bool) -> None:
    pair = _Pair(ENGINE, OTHER)
    node = pair.nodes[1]
    node.loads.begin_work(OTHER.upstream_id, UpstreamLoad(1, 0, 0))
    _believe(pair.nodes[0], ENGINE, leaves=leaves)
    chosen = []
    step_s = 0.25
    for _ in range(int((REPORT_S + REST_S) / step_s)):
        pair.tell()
        chosen.append(_choose(node))
        pair.now_s += step_s
    assert chosen[0] == OTHER.upstream_id
    assert chosen.count(OTHER.upstream_id) * step_s <= REPORT_S


def test_nodes_that_disagree_repeat_each_others_word() -> None:
    pair = _Pair(ENGINE)
    _believe(pair.nodes[0], ENGINE, leaves=False)
    pair.tell()
    assert pair.nodes[1].peer_availability.remaining_s(ENGINE, pair.now_s)
    answer = pair.links[1]._message(is_load_change=False)
    assert not answer.unavailable


def test_word_about_an_earlier_incarnation_counts() -> None:
    pair = _Pair(ENGINE)
    _believe(pair.nodes[0], ENGINE, leaves=True)
    reborn = structs.replace(ENGINE, started_ms=ENGINE.started_ms + 1)
    pair.nodes[1].view.put_upstream(reborn, pair.now_s)
    pair.tell()
    assert not pair.nodes[1].peer_availability.remaining_s(reborn, pair.now_s)
    pair.nodes[0].view.put_upstream(reborn, pair.now_s)
    assert not pair.tell().unavailable


def test_change_of_load_repeats_what_was_told() -> None:
    pair = _Pair(ENGINE, OTHER)
    _believe(pair.nodes[0], ENGINE, leaves=True)
    first = pair.tell(is_load_change=True)
    _believe(pair.nodes[0], OTHER, leaves=False)
    second = pair.tell(is_load_change=True)
    third = pair.tell(is_load_change=True)
    told = [set(one.unavailable) for one in (first, second, third)]
    assert told == [{'one'}, {'two'}, set()]
    assert set(pair.tell().unavailable) == {'one', 'two'}


def test_news_are_lost_when_more_leave_than_a_message_holds() -> None:
    engines = [make_upstream(f'i-{one}') for one in range(2 * MAX_REPORTS)]
    pair = _Pair(*engines)
    for engine in engines:
        _believe(pair.nodes[0], engine, leaves=True)
    told: set[str] = set()
    for _ in range(2):
        message = pair.tell(is_load_change=True)
        assert len(message.unavailable) == MAX_REPORTS
        told.update(message.unavailable)
    assert len(told) == len(engines)


def test_node_of_a_large_fleet_is_told_late() -> None:
    fleet = FakeFleet(NODES)
    for node in fleet.nodes.values():
        PeerLink(node)
        node.view.put_upstream(ENGINE, node.clock())
        node.load_queries.choose_aggregators()
    started_s = next(iter(fleet.nodes.values())).clock()
    for node in fleet.nodes.values():
        node.clock = lambda: started_s + WARM_UP_S
    fleet.let_all_hear()
    hosts = next(iter(fleet.nodes.values())).aggregators.hosts
    report = GossipMessage(
        node='10.0.0.99',
        phase=Phase.RUNNING,
        unavailable={ENGINE.upstream_id: AvailabilityReport(0, None)},
    )
    for host in hosts:
        fleet.nodes[host].peer_handlers[GossipMessage](report)
    node = next(node for host, node in fleet.nodes.items() if host not in hosts)
    asyncio.run(node.load_queries.refresh(SERVICE, None))
    assert node.peer_availability.remaining_s(ENGINE, node.clock())
