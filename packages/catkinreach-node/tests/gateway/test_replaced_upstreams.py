"""One node's 421 keeps all nodes from an upstream that is gone.

Load pattern: engines crash and others start at their addresses before the
store has dropped the entries; every node would find out by a request that has
had its prompt read for nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from catkinreach_core.gateway.digest import Digest, Phase, encode_digest
from catkinreach_core.gateway.terms import ReplyMarks
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
    node.view.put(upstream, node.clock())
    return node


def _tell(node: Node, replaced: dict[UpstreamId, int]) -> None:
    digest = Digest(node=PEER, phase=Phase.RUNNING, replaced=replaced)
    PeerLink(node).datagram_received(encode_digest(digest), (PEER, 1))


def test_replaced_upstream_is_told_with_its_life() -> None:
    node = _node()
    node.mark_replaced(UPSTREAM)
    assert node.replaced_upstreams() == {
        UPSTREAM.upstream_id: UPSTREAM.started_ms
    }
    assert UPSTREAM.upstream_id not in node.health.down()


def test_peer_takes_a_replaced_upstream_out() -> None:
    node = _node()
    _tell(node, {UPSTREAM.upstream_id: UPSTREAM.started_ms})
    assert node.health.is_down(UPSTREAM.upstream_id)
    assert not node.health.due_probes(node.clock() + 60)


def test_word_of_an_earlier_life_is_passed_over() -> None:
    later = structs.replace(UPSTREAM, started_ms=UPSTREAM.started_ms + 1)
    node = _node(later)
    _tell(node, {UPSTREAM.upstream_id: UPSTREAM.started_ms})
    assert not node.health.is_down(UPSTREAM.upstream_id)


def test_word_of_an_unknown_upstream_is_passed_over() -> None:
    node = _node()
    _tell(node, {UpstreamId('other'): 5})
    assert not node.health.replaced()


@pytest.mark.parametrize(
    ('answered_by', 'expected'),
    [
        (UpstreamId('successor'), True),
        (UPSTREAM.upstream_id, False),
        (None, False),
    ],
)
def test_only_a_named_successor_replaces(
    answered_by: UpstreamId | None, *, expected: bool
) -> None:
    marks = ReplyMarks(
        request_id=None,
        is_sealed=False,
        has_not_run=True,
        is_misdirected=True,
        answered_by=answered_by,
        idle_timeout_s=None,
    )
    assert marks.is_from_another(UPSTREAM.upstream_id) is expected
