"""Peers learn of a stream's admission at once, not with the next full message.

Load pattern: a workspace sends several times its rate in streams of thousands
of tokens through all nodes; what peers learn late is admitted beyond the limit.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from msgspec import structs

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.gateway.catalog import ServiceTraits, WorkspacePolicy
from catkinreach_core.gateway.gossip import GossipMessage, decode_gossip
from catkinreach_core.gateway.metadata import RequestMetadata
from catkinreach_core.ids import RequestId, WorkspaceId
from catkinreach_node.gateway.ingress import Ingress
from catkinreach_node.gateway.peer_link import PeerLink
from catkinreach_standins.fakes.gateway import SERVICE, TRAITS
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from catkinreach_node.gateway.node import Node

PEER = '127.0.0.2'
STREAM_TOKENS = 5_200
STREAMS = ServiceTraits(
    health_path='/health',
    service_id=SERVICE,
    max_connections=100,
    cold_per_s=0.0,
    engine=TRAITS,
)
WORKSPACE = WorkspacePolicy(
    workspace_id=WorkspaceId('sunday-bee'),
    rate=1_000.0,
    burst=0.0,
    counts_tokens=True,
    plain_cost=200.0,
    priority=None,
)
METADATA = RequestMetadata(
    request_id=RequestId('one'),
    host='',
    key=None,
    deadline_s=None,
    prompt_tokens=STREAM_TOKENS,
    output_tokens=0,
    resume_after=None,
)


@dataclass
class FakeTransport(asyncio.DatagramTransport):
    """Keeps what is sent."""

    sent: list[bytes] = field(default_factory=list)

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Keeps a datagram; its address doesn't matter."""
        del addr
        self.sent.append(data)


def _charge(node: Node, service: ServiceTraits) -> None:
    Ingress(node)._charge(WORKSPACE, service, METADATA, node.clock())


def test_change_message_has_the_cost_of_an_admitted_stream() -> None:
    node = idle_node()
    node.members.record_message(PEER, (), node.clock())
    link = PeerLink(node)
    transport = FakeTransport()
    link._transport = transport
    _charge(node, STREAMS)
    assert node.load_changed.is_set()
    link.send_message(is_load_change=True)
    message = decode_gossip(transport.sent[0])
    assert isinstance(message, GossipMessage)
    cost = message.admitted[WORKSPACE.workspace_id]
    assert cost >= STREAM_TOKENS


def test_plain_request_waits_for_the_next_full_message() -> None:
    node = idle_node()
    _charge(node, structs.replace(STREAMS, engine=None))
    assert not node.load_changed.is_set()


def test_refused_stream_is_not_told() -> None:
    node = idle_node()
    tight = structs.replace(WORKSPACE, rate=1e-6)
    node.quota = type(node.quota)(window_s=8.0, excess_ratio=0.0, slack=0.0)
    with pytest.raises(CatkinreachError):
        Ingress(node)._charge(tight, STREAMS, METADATA, node.clock())
    assert not node.load_changed.is_set()
