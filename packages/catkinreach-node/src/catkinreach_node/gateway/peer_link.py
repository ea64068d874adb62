"""Exchanges state between nodes by UDP: load, limits, health and votes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from catkinreach_core.gateway.aggregation import (
    HEARTBEAT_INTERVAL_S,
    HeartbeatRotation,
)
from catkinreach_core.gateway.gossip import (
    MAX_GOSSIP_BYTES,
    CrashMessage,
    GossipMessage,
    Phase,
    decode_gossip,
    encode_gossip,
)
from catkinreach_core.gateway.members import full_message_interval_s

from .decision_log import Event
from .ports import GatewayPort
from .state_messages import StateMessages

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .node import Node

MIN_MESSAGE_GAP_S = 0.004
"""Changes of load within this time are sent in one message."""

MAX_MESSAGE_GAP_S = 0.3
"""The same where the copies of a message for all peers take up a slow link."""

MAX_LINK_SHARE = 0.25
"""Part of the link that messages to peers may fill: what waits behind them is
late, requests and the ends of connections, too."""


class PeerLink(asyncio.DatagramProtocol):
    """Sends this node's state to its peers and applies theirs."""

    def __init__(self, node: Node) -> None:
        """Prepares the link; ``run`` opens the socket."""
        self._node = node
        self._transport: asyncio.DatagramTransport | None = None
        self._next_full_message_at_s = 0.0
        self._has_left = False
        self._rotation = HeartbeatRotation()
        self._sent_bytes = 0
        self._state = StateMessages(node)
        node.peer_handlers[GossipMessage] = self._apply_message
        node.peer_handlers[CrashMessage] = self._apply_crashes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the opened socket."""
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Applies a peer's message if it comes from the peer's own address."""
        message = decode_gossip(data)
        if message is None or message.node != addr[0]:
            return
        handler = self._node.peer_handlers.get(type(message))
        if handler is not None:
            with self._node.supervisor.guard('peer-message'):
                handler(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores send errors: a peer that stays silent is removed."""

    async def run(self) -> None:
        """Sends messages until cancelled."""
        if self._transport is None:
            await self._open_socket()
        await self._send_messages()

    async def _open_socket(self) -> None:
        address = self._node.settings.peer_address
        await GatewayPort('peer', address, self._node.log).open(self._bind)
        self._node.send_datagram = self._send_to

    async def _bind(self) -> None:
        address = self._node.settings.peer_address
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    async def _send_messages(self) -> None:
        is_load_change = False
        while True:
            self._sent_bytes = 0
            self.send_message(is_load_change=is_load_change)
            self._expire_peers()
            await asyncio.sleep(self._message_gap_s())
            is_load_change = await self._wait_for_load_change()

    def _message_gap_s(self) -> float:
        """Returns the time after a message in which none is sent."""
        bytes_per_s = self._node.settings.link_bytes_per_s * MAX_LINK_SHARE
        gap_s = self._sent_bytes / bytes_per_s
        return min(MAX_MESSAGE_GAP_S, max(MIN_MESSAGE_GAP_S, gap_s))

    async def _wait_for_load_change(self) -> bool:
        """Waits for a change of load; ``False`` if a full message is due."""
        loop = asyncio.get_running_loop()
        changed = self._node.load_changed
        try:
            async with asyncio.timeout_at(
                max(self._next_full_message_at_s, loop.time())
            ):
                await changed.wait()
        except TimeoutError:
            return False
        changed.clear()
        return True

    def _schedule_full_message(self) -> None:
        """Sets the time of the next full message."""
        interval_s = (
            HEARTBEAT_INTERVAL_S
            if self._node.load_queries.is_active
            else full_message_interval_s(self._node.members.count)
        )
        jitter = 0.8 + 0.4 * self._node.rng.random()
        now_s = asyncio.get_running_loop().time()
        self._next_full_message_at_s = now_s + interval_s * jitter

    def send_message(self, *, is_load_change: bool = False) -> None:
        """Sends the node's state to its peers, or in its turn to some of them.

        Args:
            is_load_change: Whether to leave out what only full messages carry:
                members, and crashes and unreachable upstreams that aren't
                news.
        """
        if self._transport is None:
            return
        if not is_load_change:
            self._schedule_full_message()
            self._node.load_queries.choose_aggregators()
        recipients = self._recipients(is_load_change=is_load_change)
        if self._node.crash_suspects.take_news():
            self._send_crashes(self._node.members.contacts)
        elif not is_load_change:
            self._send_crashes(recipients)
        message = self._message(is_load_change=is_load_change)
        data = encode_gossip(message)
        if len(data) > MAX_GOSSIP_BYTES:
            message.members = []
            message.unavailable = {}
            data = encode_gossip(message)
        for host in recipients:
            self._send_to(host, data)

    def _send_crashes(self, recipients: Iterable[str]) -> None:
        report = self._node.crash_suspects.report(self._node.clock())
        if not report.suspects:
            return
        message = CrashMessage(node=self._node.settings.host, report=report)
        data = encode_gossip(message)
        for host in recipients:
            self._send_to(host, data)

    def _recipients(self, *, is_load_change: bool) -> Collection[str]:
        """Returns the peers that get a message.

        In a fleet with aggregators only these get changes of load.
        """
        contacts = self._node.members.contacts
        if self._has_left or not self._node.load_queries.is_active:
            return contacts
        recipients = set(self._node.aggregators.hosts)
        if not is_load_change:
            recipients.update(self._rotation.next_recipients(contacts))
        return recipients - {self._node.settings.host}

    def _send_to(self, host: str, data: bytes) -> None:
        if self._transport is not None:
            self._sent_bytes += len(data)
            port = self._node.settings.peer_address.port
            self._transport.sendto(data, (host, port))

    def close(self) -> None:
        """Reports to the peers that the node leaves; closes the socket."""
        self._has_left = True
        self.send_message()
        if self._transport is not None:
            self._transport.close()

    def _phase(self) -> Phase:
        if self._has_left:
            return Phase.LEFT
        return Phase.STOPPING if self._node.shutdown.is_begun else Phase.RUNNING

    def _message(self, *, is_load_change: bool) -> GossipMessage:
        return self._state.message(self._phase(), is_load_change=is_load_change)

    def _apply_message(self, message: GossipMessage) -> None:
        node = self._node
        now_s = node.clock()
        peer = message.node
        if node.members.record_message(
            peer, message.members, now_s, known_nodes=message.known_nodes
        ):
            # A new peer needs this node's loads before the next full message.
            node.load_changed.set()
            node.log.write(
                Event.PEER_HEARD, peer=peer, members=node.members.count
            )
        node.loads.set_peer_loads(peer, message.loads, now_s)
        node.peer_reports.admitted[peer] = message.admitted
        node.peer_reports.record_counting(peer, message.counting_ms, now_s)
        for upstream_id in message.down:
            node.checks.check_reported_down(upstream_id)
        node.checks.apply_replaced(message.replaced)
        node.peer_reports.votes[peer] = message.holder
        node.peer_reports.stopping.discard(peer)
        if message.phase is Phase.STOPPING:
            node.peer_reports.stopping.add(peer)
        node.peer_reports.cut_off.discard(peer)
        if message.is_cut_off:
            node.peer_reports.cut_off.add(peer)
        node.shutdown.departures.record(
            peer, message.domain, message.ends_unix_ms, now_s
        )
        node.peer_reports.queued[peer] = message.waiting
        node.peer_reports.waiting_ranks[peer] = message.waiting_ranks
        node.peer_reports.revisions[peer] = message.store_revision
        if message.store_revision > node.revision:
            node.peer_is_ahead.set()
        node.switching_engines.merge_peer(message.switching, now_s)
        node.availability_notes.apply_reports(message.unavailable, peer)
        node.limit_notes.apply_reports(message.limits, peer)
        if message.phase is Phase.LEFT:
            self._remove_peer(peer, 'left')

    def _apply_crashes(self, message: CrashMessage) -> None:
        self._node.crash_suspects.merge(message.report, self._node.clock())

    def _expire_peers(self) -> None:
        self._node.shutdown.departures.expire(self._node.clock())
        for peer in self._node.members.expire(self._node.clock()):
            self._remove_peer(peer, 'silent')

    def _remove_peer(self, peer: str, reason: str) -> None:
        node = self._node
        node.members.remove(peer)
        node.loads.forget_peer(peer)
        node.peer_reports.forget(peer)
        node.log.write(
            Event.PEER_SILENT,
            peer=peer,
            reason=reason,
            members=node.members.count,
        )


__all__ = ('PeerLink',)
