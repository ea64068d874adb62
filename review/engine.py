"""Stand-in of an engine: a plain service, or a decode engine of a model."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

from .wire import (
    READ_SIZE,
    STREAM_LIMIT,
    Message,
    encode_chunk,
    encode_head,
    read_body,
    read_head,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .record import Record

    Answer = Callable[
        ['Exchange'],
        Awaitable[bool],
    ]


class Exchange:
    """A request at an engine, and the connection that it is on."""

    def __init__(
        self,
        engine: Engine,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Takes a whole request."""
        self.engine, self.request = engine, request
        self.reader, self.writer = reader, writer
        self.request_id = request.headers.get('request-id', '')

    def headers(self, **more: object) -> dict[str, object]:
        """Returns the headers that each answer of a run has."""
        return {
            'Request-Id': self.request_id,
            'Instance-Id': self.engine.engine_id,
            'Response-Seal': self.engine.seal(self.request_id),
            **{name.replace('_', '-'): text for name, text in more.items()},
        }

    def send(
        self, status: str, headers: dict[str, object], body: bytes
    ) -> None:
        """Sends a whole answer."""
        headers = {**headers, 'Content-Length': len(body)}
        self.writer.write(encode_head(f'HTTP/1.1 {status}', headers) + body)

    def refuse(self) -> None:
        """Says that the request hasn't run."""
        headers = {'Request-Id': self.request_id, 'Not-Executed': 1}
        self.send('503 Service Unavailable', headers, b'')

    def begin_run(self) -> None:
        """Counts a run."""
        self.engine.runs[self.request_id] += 1
        self.engine.record.write(
            'run', engine=self.engine.engine_id, request=self.request_id
        )

    async def wait_closed(self) -> None:
        """Waits until the front closes the connection."""
        with suppress(OSError):
            while await self.reader.read(READ_SIZE):
                pass


class Engine:
    """Accepts requests, refuses those of other engines, and runs the rest.

    Attributes:
        engine_id: Its id in the store.
        service: Its service in the store.
        stage: Its stage; empty for a plain service.
        slots: Requests that it runs at once.
        runs: Runs by request id.
        answer: Runs a request; returns whether the connection stays open.
    """

    def __init__(
        self,
        host: str,
        service: str,
        record: Record,
        answer: Answer,
        *,
        stage: str = '',
        slots: int = 6,
    ) -> None:
        """Takes a new id; it doesn't listen yet."""
        self.engine_id = f'i-{secrets.token_hex(4)}'
        self.service, self.stage, self.slots = service, stage, slots
        self.record, self.answer = record, answer
        self.runs: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self._host, self._port = host, 0
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def seal(self, request_id: str) -> str:
        """Returns the seal of an answer to a request."""
        return f'{self.engine_id}.{request_id}'

    def entry(self) -> dict[str, object]:
        """Returns its entry in the store."""
        entry: dict[str, object] = {
            'service': self.service,
            'address': f'{self._host}:{self._port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self._born,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self._host, 0, backlog=512, limit=STREAM_LIMIT
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        errors = (OSError, asyncio.CancelledError, asyncio.IncompleteReadError)
        with suppress(*errors):
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                exchange = Exchange(self, request, reader, writer)
                if not await self._handle(exchange):
                    break
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _handle(self, exchange: Exchange) -> bool:
        request = exchange.request
        if request.target == '/report':
            document = {'stage': self.stage, 'models': [], 'busy': False}
            exchange.send('200 OK', {}, json.dumps(document).encode())
            return True
        if request.target.startswith('/kv-handle/'):
            exchange.send('200 OK', {}, b'')
            return True
        if request.headers.get('expect-instance') != self.engine_id:
            headers = {'Instance-Id': self.engine_id}
            headers['Request-Id'] = exchange.request_id
            exchange.send('421 Misdirected Request', headers, b'')
            return True
        self.received[exchange.request_id] += 1
        return await self.answer(exchange)


def plain_answer(work_s: float, size: int = 800) -> Answer:
    """Returns an answer of a plain service: it works, then answers whole."""

    async def answer(exchange: Exchange) -> bool:
        exchange.begin_run()
        await asyncio.sleep(work_s)
        body = exchange.request_id.encode().ljust(size, b'.')
        exchange.send('200 OK', exchange.headers(), body)
        return True

    return answer


def slotted_answer(slots: int, work_s: float, size: int = 800) -> Answer:
    """Returns an answer of a plain service that works in its slots.

    Requests beyond the slots wait in its queue.
    """
    free: dict[Engine, asyncio.Semaphore] = {}

    async def answer(exchange: Exchange) -> bool:
        engine = exchange.engine
        async with free.setdefault(engine, asyncio.Semaphore(slots)):
            exchange.begin_run()
            await asyncio.sleep(work_s)
        body = exchange.request_id.encode().ljust(size, b'.')
        exchange.send('200 OK', exchange.headers(), body)
        return True

    return answer


def stream_answer(events: int, gap_s: float) -> Answer:
    """Returns an answer of a decode engine: a stream of events."""

    async def answer(exchange: Exchange) -> bool:
        exchange.begin_run()
        first = int(exchange.request.headers.get('last-event-id', '0')) + 1
        headers = exchange.headers(
            Content_Type='text/event-stream', Transfer_Encoding='chunked'
        )
        writer = exchange.writer
        writer.write(encode_head('HTTP/1.1 200 OK', headers))
        for number in range(first, events + 1):
            await asyncio.sleep(gap_s)
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(encode_chunk(event))
            await writer.drain()
        writer.write(encode_chunk(b''))
        return True

    return answer


def prefill_answer(work_s: float) -> Answer:
    """Returns an answer of a prefill engine: it reads the prompt."""

    async def answer(exchange: Exchange) -> bool:
        if exchange.request.headers.get('serving-stage') != 'prefill':
            exchange.send('421 Misdirected Request', exchange.headers(), b'')
            return True
        await asyncio.sleep(work_s)
        result = {'handle': secrets.token_hex(6), 'tokens': 10, 'version': 1}
        headers = {'Request-Id': exchange.request_id}
        exchange.send('200 OK', headers, json.dumps(result).encode())
        return True

    return answer
