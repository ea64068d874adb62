"""A 421 reply to one node excludes a replaced upstream at all nodes.

Engines crash and others start at their addresses before the store has removed
the old entries. Without the report each node would detect that by a request of
its own, whose prefill is wasted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from catkinreach_core.gateway.gossip import GossipMessage, Phase, encode_gossip
from catkinreach_core.gateway.metadata import ReplyMetadata
from catkinreach_core.ids import UpstreamId
from catkinreach_node.gateway.peer_link import PeerLink
from catkinreach_standins.fakes.gateway import make_upstream
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.gateway.node import Node

PEER = '127.0.0.2'
UPSTREAM = make_upstream('one')


def _node(upstream: Upstream = UPSTREAM) -> Node:
    node = idle_node()
    node.view.put_upstream(upstream, node.clock())
    return node


def _receive_report(node: Node, replaced: dict[UpstreamId, int]) -> None:
    message = GossipMessage(node=PEER, phase=Phase.RUNNING, replaced=replaced)
    PeerLink(node).datagram_received(encode_gossip(message), (PEER, 1))


def test_replaced_upstream_is_reported_with_its_start_time() -> None:
    node = _node()
    node.mark_replaced(UPSTREAM)
    assert node.replaced_upstreams() == {
        UPSTREAM.upstream_id: UPSTREAM.started_ms
    }
    assert UPSTREAM.upstream_id not in node.health.unreachable_upstreams()


def test_reported_replacement_excludes_the_upstream() -> None:
    node = _node()
    _receive_report(node, {UPSTREAM.upstream_id: UPSTREAM.started_ms})
    assert node.health.is_down(UPSTREAM.upstream_id)
    assert not node.health.due_probes(node.clock() + 60)


def test_report_of_an_earlier_incarnation_is_ignored() -> None:
    later = structs.replace(UPSTREAM, started_ms=UPSTREAM.started_ms + 1)
    node = _node(later)
    _receive_report(node, {UPSTREAM.upstream_id: UPSTREAM.started_ms})
    assert not node.health.is_down(UPSTREAM.upstream_id)


def test_report_of_an_unknown_upstream_is_ignored() -> None:
    node = _node()
    _receive_report(node, {UpstreamId('other'): 5})
    assert not node.health.replaced_upstreams()


@pytest.mark.parametrize(
    ('answered_by', 'expected'),
    [
        (UpstreamId('successor'), True),
        (UPSTREAM.upstream_id, False),
        (None, False),
    ],
)
def test_only_a_reply_of_another_upstream_is_a_replacement(
    answered_by: UpstreamId | None, *, expected: bool
) -> None:
    metadata = ReplyMetadata(
        request_id=None,
        is_sealed=False,
        has_not_run=True,
        is_misdirected=True,
        answered_by=answered_by,
        idle_timeout_s=None,
    )
    assert metadata.is_from_other_upstream(UPSTREAM.upstream_id) is expected
