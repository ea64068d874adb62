"""Simulates KV transfers between engines over a link of limited rate."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from .engine_messages import ExportContent, ReadExportCall
from .http_client import send_request

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from .engine_batch import Sleep


class TransferLink:
    """Link of an engine that carries one transfer at a time."""

    def __init__(
        self,
        *,
        base_s: float,
        pieces_per_s: float,
        sleep: Sleep,
    ) -> None:
        """Creates an idle link.

        Args:
            base_s: Duration of a transfer apart from its KV pieces.
            pieces_per_s: Rate of the link.
            sleep: Simulates the duration of a transfer.
        """
        self._base_s = base_s
        self._pieces_per_s = pieces_per_s
        self._sleep = sleep
        self._lock = asyncio.Lock()

    @asynccontextmanager
    async def exclusive_use(self) -> AsyncIterator[None]:
        """Waits until the link is idle and blocks it for other transfers."""
        async with self._lock:
            yield

    async def transfer(self, kv_pieces: int) -> None:
        """Simulates the duration of a transfer of KV pieces."""
        await self._sleep(self._base_s + kv_pieces / self._pieces_per_s)


async def fetch_export(
    source: str, read_call: ReadExportCall
) -> ExportContent | None:
    """Fetches the content of an export from the engine that holds it.

    Returns:
        The content, or ``None`` if the export doesn't exist any more or its
        engine can't be reached.
    """
    try:
        response = await send_request(
            source, 'POST', '/standin/export', payload=read_call
        )
    except (OSError, ValueError):
        return None
    if response.status != HTTPStatus.OK:
        return None
    return msgspec.json.decode(response.body, type=ExportContent)


__all__ = ('TransferLink', 'fetch_export')
