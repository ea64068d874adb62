"""Engines of a large service are asked which prompts they hold."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from catkinreach_node.gateway.held_prompt_reads import (
    MAX_OPEN_READS,
    READ_TIMEOUT_S,
    HeldPromptReads,
)
from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.fakes.gateway import SERVICE, make_upstream
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ENGINES = 4 * MAX_OPEN_READS


class SlowEngines:
    """Fails each call after a while; counts those that are open."""

    def __init__(self, answer_s: float) -> None:
        """Starts without calls."""
        self._answer_s = answer_s
        self.open_calls = 0
        self.most_open_calls = 0
        self.calls = 0

    @asynccontextmanager
    async def exchange(self, *_: object) -> AsyncIterator[None]:
        """Waits for the time of an answer, and fails."""
        self.calls += 1
        self.open_calls += 1
        self.most_open_calls = max(self.most_open_calls, self.open_calls)
        try:
            await asyncio.sleep(self._answer_s)
        finally:
            self.open_calls -= 1
        raise ExchangeError('no answer')
        yield


async def _find(engines: SlowEngines) -> None:
    node = idle_node()
    node.control_http = engines  # type: ignore[assignment]
    for number in range(ENGINES):
        node.view.put_upstream(make_upstream(f'e{number}'), 0.0)
    async with asyncio.timeout(READ_TIMEOUT_S + 0.3):
        assert await HeldPromptReads(node).find(SERVICE, 'part') is None


def test_all_engines_of_a_large_service_were_asked_at_once() -> None:
    engines = SlowEngines(0.01)
    asyncio.run(_find(engines))
    assert engines.most_open_calls == MAX_OPEN_READS
    assert engines.calls == ENGINES


def test_search_ends_in_time_though_engines_are_silent() -> None:
    engines = SlowEngines(60.0)
    asyncio.run(_find(engines))
    assert engines.calls == MAX_OPEN_READS
    assert engines.open_calls == 0
