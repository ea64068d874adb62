"""Messages to the peers leave room on the link for everything else.

Load pattern: a node of a large fleet on a slow link places many streams while
it can't reach some upstreams. Each change of load goes to all peers.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from msgspec import structs

from catkinreach_core.gateway.gossip import GossipMessage, decode_gossip
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.ids import UpstreamId
from catkinreach_node.gateway.peer_link import (
    MAX_LINK_SHARE,
    MIN_MESSAGE_GAP_S,
    PeerLink,
)
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from catkinreach_node.gateway.node import Node

PEERS = tuple(f'127.0.1.{number}' for number in range(1, 70))
ENGINES = tuple(UpstreamId(f'i-{number:010d}') for number in range(40))
LINK_BYTES_PER_S = 1_250_000.0
BURST_S = 0.6
WORK = UpstreamLoad(1, 0, 7_000)


@dataclass
class FakeTransport(asyncio.DatagramTransport):
    """Keeps what is sent to the first peer, and counts all bytes."""

    sent_bytes: int = 0
    first: list[GossipMessage] = field(default_factory=list)

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Counts a datagram."""
        self.sent_bytes += len(data)
        message = decode_gossip(data)
        if addr[0] == PEERS[0] and isinstance(message, GossipMessage):
            self.first.append(message)


def _node(link_bytes_per_s: float) -> Node:
    """Returns a node of a large fleet with work at some engines."""
    node = idle_node()
    node.settings = structs.replace(
        node.settings, link_bytes_per_s=link_bytes_per_s
    )
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


async def _send_burst(node: Node) -> FakeTransport:
    """Returns what is sent while the load changes all the time."""
    link, transport = _link(node)
    with suppress(TimeoutError):
        async with asyncio.timeout(BURST_S), asyncio.TaskGroup() as group:
            group.create_task(link._send_messages())
            while True:
                node.begin_work(ENGINES[0], WORK)
                await asyncio.sleep(MIN_MESSAGE_GAP_S)
    return transport


async def _tell_unreachable() -> list[GossipMessage]:
    """Returns three changes of load and a full message.

    Before each of the first two another upstream becomes unreachable.
    """
    node = _node(LINK_BYTES_PER_S)
    link, transport = _link(node)
    for engine in ENGINES[:2]:
        node.mark_unreachable(engine, 'test')
        link.send_message(is_load_change=True)
    link.send_message(is_load_change=True)
    link.send_message()
    return transport.first


def test_changes_of_load_fill_the_link() -> None:
    # Requests and the ends of connections waited behind them for seconds.
    transport = asyncio.run(_send_burst(_node(LINK_BYTES_PER_S)))
    message_bytes = transport.sent_bytes / len(transport.first)
    share_bytes = LINK_BYTES_PER_S * MAX_LINK_SHARE * BURST_S
    assert transport.sent_bytes <= share_bytes + message_bytes
    assert len(transport.first) > 1


def test_node_on_a_fast_link_delays_changes_of_load() -> None:
    # Peers place streams by them, so they wait only where the link is slow.
    transport = asyncio.run(_send_burst(_node(100 * LINK_BYTES_PER_S)))
    assert len(transport.first) > BURST_S / MIN_MESSAGE_GAP_S / 4


def test_change_of_load_repeats_unreachable_upstreams() -> None:
    # Their list was longer than all else in the message.
    told = [message.down for message in asyncio.run(_tell_unreachable())]
    assert told == [[ENGINES[0]], [ENGINES[1]], [], list(ENGINES[:2])]
