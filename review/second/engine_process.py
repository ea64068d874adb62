"""A decode engine as a process: ``engine_process.py ID PORT EVENTS GAP_MS``.

Its streams have neither a length nor chunks and end with their channel.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_replies import StreamFraming

if TYPE_CHECKING:
    from catkinreach_standins.platform.upstream_behaviour import (
        Behaviour,
        RawReply,
    )
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

MODEL_SERVICE = 'model'


class UnframedEngine(UpstreamStandin):
    """Streams events at a steady pace and closes the channel at the end."""

    event_count = 0

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Sends a stream; returns that the channel closes."""
        del behaviour
        framing = StreamFraming(is_chunked=False)
        head = framing.head(exchange.request, self.instance_id)
        exchange.writer.write(exchange.add_headers(head))
        for number in range(1, self.event_count + 1):
            event = f'id: {number}\ndata: token {number}\n\n'
            exchange.writer.write(event.encode())
            await exchange.writer.drain()
            await asyncio.sleep(self.event_gap_s)
        return False


async def serve(name: str, port: int, events: int, gap_ms: int) -> None:
    """Serves until the process is ended."""
    engine = UnframedEngine(name, MODEL_SERVICE, 'decode')
    engine.event_count = events
    engine.event_gap_s = gap_ms / 1000
    await engine.start(port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    name, *numbers = sys.argv[1:]
    port, events, gap_ms = map(int, numbers)
    asyncio.run(serve(name, port, events, gap_ms))
