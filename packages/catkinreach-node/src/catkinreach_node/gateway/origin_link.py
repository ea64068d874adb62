"""Tells peers at which software version streams begin, and asks them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from catkinreach_core.gateway.gossip import encode_gossip
from catkinreach_core.gateway.metadata import NO_REQUEST
from catkinreach_core.gateway.origin_messages import (
    MAX_TOLD_CHARS,
    OriginQuery,
    OriginReply,
    StreamNotice,
)
from catkinreach_core.gateway.stream_origins import StreamOrigins, told_hosts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from catkinreach_core.ids import RequestId, ServiceId, SoftwareVersion

    from .node import Node

ANSWER_S = 0.1
"""Time for the peers' answers; several round trips."""

READER_ANSWER_S = 0.5
"""Time for the answers of peers that ask engines first."""


class OriginLink:
    """The streams that this node and its peers have seen begin."""

    def __init__(
        self,
        node: Node,
        read_held: Callable[
            [ServiceId, str], Awaitable[SoftwareVersion | None]
        ],
        find_sole: Callable[[ServiceId], Awaitable[SoftwareVersion | None]],
    ) -> None:
        """Starts without streams.

        Args:
            node: State of the gateway process.
            read_held: Asks the engines of a service which of them hold a part
                of a prompt.
            find_sole: Returns the only version of a service that streams can
                have begun at, if that is certain.
        """
        self._node = node
        self._read_held = read_held
        self._find_sole = find_sole
        self._origins = StreamOrigins()
        self._query_ids = count(1)
        self._queries: dict[int, _Query] = {}
        node.peer_handlers[StreamNotice] = self._take_notice
        node.peer_handlers[OriginQuery] = self._answer
        node.peer_handlers[OriginReply] = self._take_reply

    def find(self, origin: RequestId) -> SoftwareVersion | None:
        """Returns the version of a stream that this node knows."""
        return self._origins.find(origin)

    def record(self, origin: RequestId, version: SoftwareVersion) -> None:
        """Records a stream, and tells peers before its caller has an event."""
        if max(len(origin), len(version)) > MAX_TOLD_CHARS:
            return
        self._origins.record(origin, version, self._node.clock())
        notice = StreamNotice(
            node=self._node.settings.host, origins={origin: version}
        )
        data = encode_gossip(notice)
        for host in self._hosts(origin):
            self._node.send_datagram(host, data)

    async def ask(
        self, origin: RequestId, service_id: ServiceId
    ) -> SoftwareVersion | None:
        """Returns the version of a stream that a peer knows, if any does."""
        hosts = self._hosts(origin)
        if not hosts or not 0 < len(origin) <= MAX_TOLD_CHARS:
            return None
        answer = await self._ask(hosts, ANSWER_S, origin, service_id)
        return answer.version

    async def ask_readers(
        self, hosts: Collection[str], service_id: ServiceId, part: str
    ) -> PeerAnswer:
        """Lets other VMs ask the engines which of them hold a part."""
        if len(part) > MAX_TOLD_CHARS:
            return PeerAnswer(version=None, is_answered=False)
        return await self._ask(
            hosts, READER_ANSWER_S, NO_REQUEST, service_id, part
        )

    async def _ask(
        self,
        hosts: Collection[str],
        wait_s: float,
        origin: RequestId,
        service_id: ServiceId,
        held_part: str = '',
    ) -> PeerAnswer:
        query_id = next(self._query_ids)
        query = self._queries[query_id] = _Query(len(hosts))
        data = encode_gossip(
            OriginQuery(
                node=self._node.settings.host,
                query_id=query_id,
                request=origin,
                service=service_id,
                held_part=held_part,
            )
        )
        for host in hosts:
            self._node.send_datagram(host, data)
        try:
            return await query.wait(wait_s)
        finally:
            del self._queries[query_id]

    def _hosts(self, origin: RequestId) -> tuple[str, ...]:
        node = self._node
        peers = tuple(node.members.responsive(node.clock()))
        return told_hosts(origin, peers)

    def _take_notice(self, notice: StreamNotice) -> None:
        self._origins.merge(notice.origins, self._node.clock())

    def _answer(self, query: OriginQuery) -> None:
        """Tells another node the version of a stream, if it is known."""
        if query.held_part:
            self._node.spawn(self._answer_from_engines(query))
            return
        node = self._node
        version = self._origins.find(query.request)
        may_be_sole = version is None and (
            node.view.sole_version(query.service, node.clock()) is not None
        )
        if may_be_sole:
            node.spawn(self._answer_sole_version(query))
            return
        self._reply(query, version)

    async def _answer_sole_version(self, query: OriginQuery) -> None:
        self._reply(query, await self._find_sole(query.service))

    async def _answer_from_engines(self, query: OriginQuery) -> None:
        self._reply(
            query, await self._read_held(query.service, query.held_part)
        )

    def _reply(
        self, query: OriginQuery, version: SoftwareVersion | None
    ) -> None:
        if version is not None and len(version) > MAX_TOLD_CHARS:
            version = None
        reply = OriginReply(
            node=self._node.settings.host,
            query_id=query.query_id,
            version=version,
        )
        self._node.send_datagram(query.node, encode_gossip(reply))

    def _take_reply(self, reply: OriginReply) -> None:
        query = self._queries.get(reply.query_id)
        if query is not None:
            query.take(reply.version)


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """What the peers that were asked said.

    Attributes:
        version: The version, if one of them knows it.
        is_answered: Whether any of them answered.
    """

    version: SoftwareVersion | None
    is_answered: bool


class _Query:
    """Waits for the first peer that knows, or for all that don't."""

    def __init__(self, asked: int) -> None:
        """Starts without answers."""
        self._asked = self._unanswered = asked
        self._known: asyncio.Future[SoftwareVersion | None] = (
            asyncio.get_running_loop().create_future()
        )

    def take(self, version: SoftwareVersion | None) -> None:
        """Takes a peer's answer."""
        self._unanswered -= 1
        if self._known.done():
            return
        if version is not None or not self._unanswered:
            self._known.set_result(version)

    async def wait(self, wait_s: float) -> PeerAnswer:
        """Returns what the peers said by the end of a time."""
        version = None
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                version = await self._known
        return PeerAnswer(version, is_answered=self._unanswered < self._asked)


__all__ = ('OriginLink', 'PeerAnswer')
