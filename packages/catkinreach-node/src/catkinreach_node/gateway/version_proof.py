"""Proves with a read of the store that this VM has missed no engine.

What a VM knows of the engines may be seconds old: it stood still, or was cut
off, while engines of another software version joined and began streams.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.feed import (
    HistoryLost,
    StoreUnavailable,
    UpstreamPublished,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_core.gateway.feed import ChangeBatch
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import ServiceId, SoftwareVersion

    from .node import Node

READ_TIMEOUT_S = 0.3
"""Time for the answer of the store."""


class VersionProof:
    """Reads the changes that this VM hasn't applied yet.

    A read proves what was so when it began. Streams that are resumed meanwhile
    share the next one.

    Attributes:
        read_changes: Reads the store's changes after those that are applied.
    """

    def __init__(self, node: Node) -> None:
        """Prepares the reads of one node."""
        self._node = node
        self.read_changes: Callable[[], Awaitable[ChangeBatch]] = _read_nothing
        self._running: asyncio.Task[ChangeBatch | None] | None = None
        self._next: asyncio.Task[ChangeBatch | None] | None = None

    async def sole_version(
        self, service_id: ServiceId
    ) -> SoftwareVersion | None:
        """Returns the only version that streams can have begun at, if known."""
        version = self._sole_version(service_id)
        if version is None or not await self.holds(service_id, version):
            return None
        return self._sole_version(service_id)

    async def holds(
        self, service_id: ServiceId, version: SoftwareVersion
    ) -> bool:
        """Returns whether all engines that this VM has missed are of a version.

        Args:
            service_id: Service of the engines.
            version: Version that those which it knows tell.
        """
        batch = await self._read()
        if batch is None:
            return False
        return not any(
            isinstance(change, UpstreamPublished)
            and change.upstream.service_id == service_id
            and change.upstream.software_version != version
            and not self._is_known(change.upstream)
            for change in batch.changes
        )

    def _sole_version(self, service_id: ServiceId) -> SoftwareVersion | None:
        return self._node.view.sole_version(service_id, self._node.clock())

    def _is_known(self, upstream: Upstream) -> bool:
        """Returns whether the view has this start and version of an engine."""
        known = self._node.view.find_upstream(upstream.upstream_id)
        return (
            known is not None
            and not self._node.view.is_new_incarnation(upstream)
            and known.upstream.software_version == upstream.software_version
        )

    async def _read(self) -> ChangeBatch | None:
        """Returns the changes of a read that begins after this call."""
        if self._next is None:
            self._next = self._node.spawn(self._read_after(self._running))
        return await asyncio.shield(self._next)

    async def _read_after(
        self, running: asyncio.Task[ChangeBatch | None] | None
    ) -> ChangeBatch | None:
        """Reads once an earlier read has ended; ``None`` without an answer."""
        if running is not None:
            await asyncio.wait({running})
        self._running, self._next = self._next, None
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self.read_changes()
        except (HistoryLost, StoreUnavailable, TimeoutError):
            return None


async def _read_nothing() -> ChangeBatch:
    """Stands for the store until its reads begin.

    Raises:
        StoreUnavailable: always.
    """
    raise StoreUnavailable('not read yet')


__all__ = ('VersionProof',)
