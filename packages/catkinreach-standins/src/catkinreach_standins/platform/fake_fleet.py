"""Many nodes in one process, whose datagrams are delivered by a function."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from msgspec import structs

from catkinreach_core.gateway.feed import ChangeBatch
from catkinreach_core.gateway.gossip import decode_gossip
from catkinreach_core.ids import Revision
from catkinreach_node.gateway.node import Node
from catkinreach_node.platform.wire import PlatformDialect

from .deployment import idle_node

if TYPE_CHECKING:
    from collections.abc import Callable


async def _read_no_changes() -> ChangeBatch:
    """Stands for a store that nothing was written to."""
    return ChangeBatch([], Revision(0))


class FakeFleet:
    """Nodes that have heard each other; no sockets are used.

    Attributes:
        nodes: Nodes by address.
        cut: Addresses that neither send nor receive datagrams.
        loss: Fraction of the datagrams that is lost.
    """

    def __init__(self, count: int) -> None:
        """Makes the nodes; each has heard all others."""
        settings = idle_node().settings
        hosts = [
            f'10.0.{number // 100}.{number % 100}' for number in range(count)
        ]
        self.cut: set[str] = set()
        self.loss = 0.0
        self._rng = random.Random(3)
        self.nodes = {
            host: Node(structs.replace(settings, host=host), PlatformDialect())
            for host in hosts
        }
        for host, node in self.nodes.items():
            node.send_datagram = self._sender(host)
            node.stream_versions.use_store(_read_no_changes)
        self.let_all_hear()

    def let_all_hear(self) -> None:
        """Makes every node hear every other one now."""
        for host, node in self.nodes.items():
            for peer in self.nodes.keys() - {host}:
                node.members.record_message(peer, (), node.clock())

    def _sender(self, source: str) -> Callable[[str, bytes], None]:
        def send(target: str, data: bytes) -> None:
            is_lost = self._rng.random() < self.loss
            if is_lost or self.cut & {source, target}:
                return
            message = decode_gossip(data)
            handlers = self.nodes[target].peer_handlers
            if type(message) in handlers:
                handlers[type(message)](message)

        return send


__all__ = ('FakeFleet',)
