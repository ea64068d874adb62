"""KV transfer between engines over a link of limited rate."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from .engine_messages import ExportContent, ExportRead
from .http_client import send_request

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from .engine_batch import Sleep


class TransferLink:
    """Serial link: one transfer at a time."""

    def __init__(
        self,
        *,
        base_s: float,
        pieces_per_s: float,
        sleep: Sleep,
    ) -> None:
        """Keep the rate and the sleep function, which scales time."""
        self._base_s = base_s
        self._pieces_per_s = pieces_per_s
        self._sleep = sleep
        self._lock = asyncio.Lock()

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Hold the link."""
        async with self._lock:
            yield

    async def transfer(self, pieces: int) -> None:
        """Take the time that the pieces need."""
        await self._sleep(self._base_s + pieces / self._pieces_per_s)


async def read_export(source: str, read: ExportRead) -> ExportContent | None:
    """Read an export from its engine; ``None`` if it is gone."""
    try:
        answer = await send_request(
            source, 'POST', '/standin/export', payload=read
        )
    except (OSError, ValueError):
        return None
    if answer.status != HTTPStatus.OK:
        return None
    return msgspec.json.decode(answer.body, type=ExportContent)


__all__ = ('TransferLink', 'read_export')
