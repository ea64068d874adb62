"""Messages to the peers leave room on the link for everything else.

Load pattern: a node of a large fleet on a slow link places many streams while
it can't reach some upstreams. Each change of load goes to all peers.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from catkinreach_core.gateway.gossip import GossipMessage, decode_gossip
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.ids import UpstreamId
from catkinreach_node.gateway.peer_link import PeerLink
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from catkinreach_node.gateway.node import Node

PEERS = tuple(f'127.0.1.{number}' for number in range(1, 70))
ENGINES = tuple(UpstreamId(f'i-{number:010d}') for number in range(40))
WORK = UpstreamLoad(1, 0, 7_000)


@dataclass
class FakeTransport(asyncio.DatagramTransport):
    """Keeps what is sent to the first peer."""

    first: list[GossipMessage] = field(default_factory=list)

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Keeps a datagram to the first peer."""
        message = decode_gossip(data)
        if addr[0] == PEERS[0] and isinstance(message, GossipMessage):
            self.first.append(message)


def _node() -> Node:
    """Returns a node of a large fleet with work at some engines."""
    node = idle_node()
    for peer in PEERS:
        node.members.record_message(peer, (), node.clock())
    for engine in ENGINES[:20]:
        node.begin_work(engine, WORK)
    return node


def _link(node: Node) -> tuple[PeerLink, FakeTransport]:
    link = PeerLink(node)
    transport = FakeTransport()
    link._transport = transport
    return link, transport


async def _tell_unreachable() -> list[GossipMessage]:
    """Returns three changes of load and a full message.

    Before each of the first two another upstream becomes unreachable.
    """
    node = _node()
    link, transport = _link(node)
    for engine in ENGINES[:2]:
        node.mark_unreachable(engine, 'test')
        link.send_message(is_load_change=True)
    link.send_message(is_load_change=True)
    link.send_message()
    return transport.first


def test_change_of_load_repeats_unreachable_upstreams() -> None:
    # Their list was longer than all else in the message.
    told = [message.down for message in asyncio.run(_tell_unreachable())]
    assert told == [[ENGINES[0]], [ENGINES[1]], [], list(ENGINES[:2])]
