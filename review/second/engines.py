"""Engines of a model service with the speed that the users' sheet gives."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_replies import StreamFraming

if TYPE_CHECKING:
    from catkinreach_standins.platform.upstream_behaviour import (
        Behaviour,
        RawReply,
    )
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

PREFILL_TOKENS_PER_S = 55_555.6


class PrefillEngine(UpstreamStandin):
    """Prefills one prompt after the other, and may fall silent for a time."""

    def __init__(self, name: str) -> None:
        """Prepares an engine that doesn't listen yet."""
        super().__init__(name, MODEL_SERVICE, 'prefill')
        self._free_at_s = 0.0

    def fall_silent(self, duration_s: float) -> None:
        """Begins nothing for a time; then it goes on."""
        self._free_at_s = max(self._free_at_s, time.monotonic() + duration_s)

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Prefills a prompt when those before it are done."""
        tokens = int(exchange.request.headers['token-count'].split(',')[0])
        begins_s = max(self._free_at_s, time.monotonic())
        self._free_at_s = begins_s + tokens / PREFILL_TOKENS_PER_S
        await asyncio.sleep(self._free_at_s - time.monotonic())
        return await super().run(exchange, behaviour)


class DecodeEngine(UpstreamStandin):
    """Streams events at a steady pace; its process may end."""

    def __init__(self, name: str, events: int, gap_s: float) -> None:
        """Prepares an engine that doesn't listen yet.

        Args:
            name: Id of the engine.
            events: Events of each stream.
            gap_s: Pause between two events.
        """
        super().__init__(name, MODEL_SERVICE, 'decode')
        self._event_count = events
        self.event_gap_s = gap_s
        self._writers: set[asyncio.StreamWriter] = set()

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Sends a stream in chunks; prefills the prompt first if need be."""
        del behaviour
        request, writer = exchange.request, exchange.writer
        self._writers.add(writer)
        if 'kv-source' not in request.headers:
            tokens = int(request.headers['token-count'].split(',')[0])
            await asyncio.sleep(2 * tokens / PREFILL_TOKENS_PER_S)
        framing = StreamFraming(is_chunked=True)
        head = framing.head(request, self.instance_id)
        writer.write(exchange.add_headers(head))
        for number in range(1, self._event_count + 1):
            event = f'id: {number}\ndata: token {number}\n\n'
            writer.write(framing.encode(event.encode()))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(framing.end())
        self._writers.discard(writer)
        return True

    def exit(self) -> int:
        """Ends as a process does; returns the number of streams cut off."""
        self.close()
        cut = len(self._writers)
        for writer in self._writers:
            writer.transport.abort()
        return cut
