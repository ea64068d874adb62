"""Datagrams between nodes: what each admitted and has in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from catkinreach_core.gateway.digest import (
    MAX_DIGEST_BYTES,
    MAX_TOLD_MEMBERS,
    Digest,
    Phase,
    decode_digest,
    encode_digest,
)
from catkinreach_core.gateway.members import SMALL_FLEET

from .decision_log import Event

if TYPE_CHECKING:
    from .node import Node

TELL_INTERVAL_S = 0.3
"""Time between two full messages in a small fleet."""

MOST_INTERVAL_FACTOR = 3.0
MIN_TELL_GAP_S = 0.004
"""Changes of load that follow each other this closely are told together."""

MAX_TOLD_PEERS = 100
"""Peers that are told at once; in larger fleets a random part of them."""


class PeerLink(asyncio.DatagramProtocol):
    """Owns the datagram socket."""

    def __init__(self, node: Node) -> None:
        """Keeps the node's beliefs; the socket is opened by ``run``."""
        self._node = node
        self._transport: asyncio.DatagramTransport | None = None
        self._full_at_s = 0.0
        self._is_gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a message of a peer."""
        digest = decode_digest(data)
        if digest is not None and digest.node == addr[0]:
            self._take(digest)

    def error_received(self, exc: Exception) -> None:
        """Passes over a peer that can't be reached: its silence counts."""

    async def run(self) -> None:
        """Tells the peers until cancelled."""
        address = self._node.settings.peer_address
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )
        is_change = False
        while True:
            self.tell(is_change=is_change)
            self._expire()
            await asyncio.sleep(MIN_TELL_GAP_S)
            is_change = await self._wait_news()

    async def _wait_news(self) -> bool:
        """Waits for a change of load; False if a full message is due."""
        loop = asyncio.get_running_loop()
        changed = self._node.load_changed
        try:
            async with asyncio.timeout_at(max(self._full_at_s, loop.time())):
                await changed.wait()
        except TimeoutError:
            return False
        changed.clear()
        return True

    def _plan_full(self) -> None:
        """Sets the time of the next full message."""
        factor = self._node.members.count / SMALL_FLEET
        interval_s = TELL_INTERVAL_S * min(
            MOST_INTERVAL_FACTOR, max(1.0, factor)
        )
        jitter = 0.8 + 0.4 * self._node.rng.random()
        now_s = asyncio.get_running_loop().time()
        self._full_at_s = now_s + interval_s * jitter

    def tell(self, *, is_change: bool = False) -> None:
        """Sends one message to the peers, or to a random part of them."""
        if self._transport is None:
            return
        if not is_change:
            self._plan_full()
        contacts = list(self._node.members.contacts)
        if len(contacts) > MAX_TOLD_PEERS:
            contacts = self._node.rng.sample(contacts, MAX_TOLD_PEERS)
        data = encode_digest(self._digest(is_change=is_change))
        if len(data) > MAX_DIGEST_BYTES:
            data = encode_digest(self._digest(is_change=True))
        port = self._node.settings.peer_address.port
        for host in contacts:
            self._transport.sendto(data, (host, port))

    def close(self) -> None:
        """Says goodbye and closes the socket."""
        self._is_gone = True
        self.tell()
        if self._transport is not None:
            self._transport.close()

    def _phase(self) -> Phase:
        if self._is_gone:
            return Phase.GONE
        return Phase.STOPPING if self._node.is_stopping else Phase.RUNNING

    def _digest(self, *, is_change: bool) -> Digest:
        node = self._node
        now_s = node.clock()
        heard = list(node.members.heard(now_s))
        node.rng.shuffle(heard)
        return Digest(
            node=node.settings.host,
            phase=self._phase(),
            members=[] if is_change else heard[:MAX_TOLD_MEMBERS],
            loads=node.loads.own(),
            admitted=None if is_change else node.quota.own_counts(now_s),
            crashes={} if is_change else node.suspects.to_tell(now_s),
            down=node.health.down(),
            replaced=node.replaced(),
            waiting=node.waiting_tokens(),
            holder=node.named_holder,
            switching=node.switching.to_tell(now_s),
        )

    def _take(self, digest: Digest) -> None:
        node = self._node
        now_s = node.clock()
        peer = digest.node
        if node.members.hear(peer, digest.members, now_s):
            # A node that has just started needs to know what is in flight.
            node.load_changed.set()
            node.log.write(
                Event.PEER_HEARD, peer=peer, members=node.members.count
            )
        node.loads.hear(peer, digest.loads, now_s)
        if digest.admitted is not None:
            node.suspects.hear(peer, digest.crashes)
            node.peer_admitted[peer] = digest.admitted
        for upstream_id in digest.down:
            node.checks.doubt(upstream_id)
        node.checks.take_replaced(digest.replaced)
        node.peer_holders[peer] = digest.holder
        node.stopping_peers.discard(peer)
        if digest.phase is Phase.STOPPING:
            node.stopping_peers.add(peer)
        node.peer_waiting[peer] = digest.waiting
        node.switching.hear(digest.switching, now_s)
        if digest.phase is Phase.GONE:
            self._forget(peer, 'left')

    def _expire(self) -> None:
        for peer in self._node.members.expire(self._node.clock()):
            self._forget(peer, 'silent')

    def _forget(self, peer: str, reason: str) -> None:
        node = self._node
        node.members.leave(peer)
        node.loads.forget_peer(peer)
        node.suspects.forget_peer(peer)
        node.peer_admitted.pop(peer, None)
        node.peer_holders.pop(peer, None)
        node.stopping_peers.discard(peer)
        node.peer_waiting.pop(peer, None)
        node.log.write(
            Event.PEER_SILENT,
            peer=peer,
            reason=reason,
            members=node.members.count,
        )


__all__ = ('TELL_INTERVAL_S', 'PeerLink')
