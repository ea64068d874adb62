"""Applies published settings texts that are newer and valid."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.settings import load_fleet

if TYPE_CHECKING:
    from catkinreach_core.messages.relay import PublishedText

    from .state import FleetState

MAX_INLINE_CHARACTERS = 20_000
"""Longest text that is parsed on the event loop.

A longer one is parsed in a thread, so that requests are not delayed.
"""


class SettingsUpdater:
    """Parses published settings texts, one at a time, and applies them.

    A text is applied as a whole or, with any fault, not at all.
    """

    def __init__(self, state: FleetState) -> None:
        """Applies texts to ``state``."""
        self._state = state
        self._lock = asyncio.Lock()

    async def update(self, published: PublishedText) -> bool:
        """Applies a published text; returns whether it is now in force."""
        async with self._lock:
            if not self._state.record_published(published):
                return False
            return await self._apply(published)

    async def _apply(self, published: PublishedText) -> bool:
        text = published.text
        try:
            if len(text) <= MAX_INLINE_CHARACTERS:
                settings = load_fleet(
                    text, revision=published.revision, source='fleet'
                )
            else:
                settings = await asyncio.to_thread(
                    load_fleet,
                    text,
                    revision=published.revision,
                    source='fleet',
                )
        except CatkinreachError as error:
            self._state.record_refusal(published.revision, error.detail)
            logger.error(
                'config: revision {} refused: {}',
                published.revision,
                error.detail,
            )
            return False
        is_new = self._state.accept_settings(settings, text)
        if is_new:
            logger.info('config: revision {} in force.', published.revision)
        return is_new


__all__ = ('SettingsUpdater',)
