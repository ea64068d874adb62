"""Asks engines which parts of prompts they hold."""

from __future__ import annotations

import asyncio
import math
from enum import Enum
from typing import TYPE_CHECKING

from catkinreach_core.documents import DocumentError
from catkinreach_core.gateway.held_prompts import HeldPrompts
from catkinreach_core.gateway.upstream import Stage

from ..http.connection import ConnectError, ExchangeError
from .decision_log import Event

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import ServiceId, SoftwareVersion

    from .node import Node

READ_TIMEOUT_S = 0.4
"""Time for the answers of all engines of a service."""

READ_INTERVAL_S = 0.5
"""Least time between two reads: each delays the engines' work a little."""

MAX_OPEN_READS = 64
"""Engines that are asked at the same time."""

MAX_LIST_BYTES = 1024 * 1024
STATUS_OK = 200


class HeldPromptReads:
    """Reads what the engines of a service hold, once for all that wait."""

    def __init__(self, node: Node) -> None:
        """Starts without a read."""
        self._node = node
        self._held = HeldPrompts()
        self._reads: dict[ServiceId, asyncio.Future[None]] = {}
        self._read_at_s: dict[ServiceId, float] = {}
        self._starting: set[ServiceId] = set()

    async def find(
        self, service_id: ServiceId, part: str
    ) -> SoftwareVersion | None:
        """Returns the version whose engines hold a part, if it is only one.

        What was read earlier doesn't suffice: a part may be that of a session,
        whose next stream has begun at another version.
        """
        if not part:
            return None
        self._held.need(service_id, part, self._node.clock())
        await asyncio.shield(self._next_read(service_id))
        return self._held.find(service_id, part)

    async def read_at_start(self, service_id: ServiceId) -> None:
        """Reads and keeps what the engines of a service hold now."""
        self._read_at_s[service_id] = self._node.clock()
        self._starting.add(service_id)
        try:
            await self._read_all(service_id)
        finally:
            self._starting.discard(service_id)

    def _next_read(self, service_id: ServiceId) -> asyncio.Future[None]:
        """Returns the next read to begin."""
        if service_id not in self._reads:
            read = self._node.spawn(self._read_when_due(service_id))
            self._reads[service_id] = read
        return self._reads[service_id]

    async def _read_when_due(self, service_id: ServiceId) -> None:
        read_at_s = self._read_at_s.get(service_id, -math.inf)
        due_s = read_at_s + READ_INTERVAL_S - self._node.clock()
        await asyncio.sleep(max(0.0, due_s))
        now_s = self._read_at_s[service_id] = self._node.clock()
        self._held.expire(now_s)
        del self._reads[service_id]
        await self._read_all(service_id)

    async def _read_all(self, service_id: ServiceId) -> None:
        engines = [
            known.upstream
            for known in self._node.view.known_of(service_id)
            if self._may_ask(known.upstream)
        ]
        # Those of a large service may not all be asked in time.
        self._node.rng.shuffle(engines)
        until_s = asyncio.get_running_loop().time() + READ_TIMEOUT_S
        places = asyncio.Semaphore(MAX_OPEN_READS)
        answers = await asyncio.gather(
            *(self._read(engine, places, until_s) for engine in engines)
        )
        self._node.log.write(
            Event.HELD_PROMPTS,
            service=service_id,
            known=len(engines),
            asked=sum(answer is not _Answer.NOT_ASKED for answer in answers),
            answered=answers.count(_Answer.READ),
        )

    def _may_ask(self, upstream: Upstream) -> bool:
        """Returns whether an engine may have run a stream and be asked."""
        node = self._node
        return (
            upstream.stage is not Stage.PREFILL
            and not node.health.is_down(upstream.upstream_id)
            and not node.availability.pause_s(upstream, node.clock())
            and node.limit_notes.allows_request(upstream)
        )

    async def _read(
        self, upstream: Upstream, places: asyncio.Semaphore, until_s: float
    ) -> _Answer:
        """Asks an engine once there is a place, unless that is too late."""
        try:
            async with asyncio.timeout_at(until_s):
                await places.acquire()
        except TimeoutError:
            return _Answer.NOT_ASKED
        try:
            async with asyncio.timeout_at(until_s):
                return await self._ask(upstream)
        except TimeoutError:
            return _Answer.FAILED
        finally:
            places.release()

    async def _ask(self, upstream: Upstream) -> _Answer:
        """Asks an engine and records what it holds."""
        node = self._node
        node.limits.spend(upstream.upstream_id)
        request = node.dialect.held_prompts_request(upstream)
        try:
            async with node.control_http.exchange(
                upstream.address, request
            ) as response:
                body = await response.read(MAX_LIST_BYTES)
            if response.status != STATUS_OK:
                return _Answer.FAILED
            parts = node.dialect.read_held_prompts(body)
        except (ConnectError, ExchangeError, DocumentError):
            return _Answer.FAILED
        if upstream.service_id in self._starting:
            self._held.need_all(upstream.service_id, parts, node.clock())
        self._held.record(
            upstream.service_id, upstream.software_version, parts, node.clock()
        )
        return _Answer.READ


class _Answer(Enum):
    """What came of the question to one engine."""

    READ = 'read'
    FAILED = 'failed'
    NOT_ASKED = 'not-asked'


__all__ = ('HeldPromptReads',)
