"""A decode engine in a process of its own, so that it can be killed.

Its answers are streams without a length, which end with their channel. It
writes a line for each run to its standard output.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from review.wire import (
    STREAM_LIMIT,
    encode_head,
    read_body,
    read_head,
)


class EngineProcess:
    """Serves streams at one port."""

    def __init__(self, engine_id: str, events: int, gap_s: float) -> None:
        """Takes the id under which it is in the store."""
        self._engine_id = engine_id
        self._events, self._gap_s = events, gap_s

    async def run(self, host: str, port: int) -> None:
        """Serves until the process ends."""
        server = await asyncio.start_server(
            self._serve, host, port, limit=STREAM_LIMIT
        )
        async with server:
            await server.serve_forever()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_head(reader)
            if request is not None:
                await read_body(reader, request)
                await self._answer(request.headers, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers.get('request-id', '')
        if headers.get('expect-instance') != self._engine_id:
            more = {'Request-Id': request_id, 'Instance-Id': self._engine_id}
            more['Content-Length'] = '0'
            writer.write(encode_head('HTTP/1.1 421 Misdirected Request', more))
            await writer.drain()
            return
        sys.stdout.write(f'run {self._engine_id} {request_id}\n')
        sys.stdout.flush()
        head = {
            'Request-Id': request_id,
            'Instance-Id': self._engine_id,
            'Response-Seal': f'{self._engine_id}.{request_id}',
            'Content-Type': 'text/event-stream',
        }
        writer.write(encode_head('HTTP/1.1 200 OK', head))
        for number in range(1, self._events + 1):
            await asyncio.sleep(self._gap_s)
            event = f'id: {number}\ndata: token {number}\n\n'
            writer.write(event.encode())
            await writer.drain()


def main() -> None:
    """Runs the engine: host, port, id, events and their gap in seconds."""
    host, port, engine_id, events, gap_s = sys.argv[1:]
    engine = EngineProcess(engine_id, int(events), float(gap_s))
    asyncio.run(engine.run(host, int(port)))


if __name__ == '__main__':
    main()
