"""An upstream of the platform: a plain one, or a prefill or decode engine."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import h11
import msgspec

READ_SIZE_BYTES = 65_536
EVENT_COUNT = 6
BREAK_AFTER = 3
"""Events after which a stream breaks, in the middle of the next one."""


class Behaviour(Enum):
    """How the next request is treated."""

    SERVE = 'serve'
    FAIL = 'fail'
    REFUSE = 'refuse'
    DISCONNECT = 'break'
    HANG = 'hang'
    NO_SEAL = 'unsealed'
    EXTRA_RESPONSE = 'extra'
    NO_REQUEST_ID = 'unnamed'


@dataclass(frozen=True, slots=True)
class Received:
    """One request that arrived; header names are in lower case.

    Attributes:
        at_s: Monotonic time of arrival.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = 0.0

    @property
    def is_prefill(self) -> bool:
        """Tells whether only the prompt is to be read."""
        return self.headers.get('serving-stage') == 'prefill'

    @property
    def request_id(self) -> str:
        """Returns the id that the caller gave."""
        return self.headers.get('request-id', '')


@dataclass
class UpstreamStandin:
    """Serves what it is told to, and records what it got and ran.

    Attributes:
        upstream_id: Id in the store.
        service: Service in the store.
        stage: Stage in the store; empty for plain upstreams.
        script: Behaviours of the next requests; then all are served.
        received: All requests, refused ones included.
        runs: Runs by request id.
        abandoned_ids: Ids of requests whose connection closed while they hung.
        event_gap_s: Pause before each event of a stream.
        prefill_s: Time that it takes to read a prompt.
    """

    upstream_id: str
    service: str
    stage: str = ''
    script: deque[Behaviour] = field(default_factory=deque)
    received: list[Received] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    abandoned_ids: list[str] = field(default_factory=list)
    event_gap_s: float = 0.0
    prefill_s: float = 0.0
    _server: asyncio.Server | None = None
    _handles: int = 0

    @property
    def address(self) -> str:
        """Returns the address as the store holds it."""
        assert self._server is not None  # noqa: S101 - narrows the type
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def entry(self, **changed: object) -> dict[str, object]:
        """Returns its entry in the store."""
        entry: dict[str, object] = {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
        }
        if self.stage:
            entry['stage'] = self.stage
        return {**entry, **changed}

    async def start(self) -> None:
        """Listens on loopback, on a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=256
        )

    def close(self) -> None:
        """Stops to listen."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        protocol = h11.Connection(h11.SERVER)
        broken = (OSError, h11.RemoteProtocolError, asyncio.CancelledError)
        with suppress(*broken):
            while (request := await _read(protocol, reader)) is not None:
                self.received.append(request)
                if not await self._answer(request, reader, writer):
                    break
                protocol = h11.Connection(h11.SERVER)
        writer.close()

    async def _answer(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        if request.headers.get('expect-instance') != self.upstream_id:
            writer.write(self._head(request, 421, b'', is_sealed=False))
            return True
        behaviour = self.script.popleft() if self.script else Behaviour.SERVE
        if behaviour is Behaviour.REFUSE:
            writer.write(_refusal(request))
            return True
        if not request.is_prefill:
            self.runs[request.request_id] += 1
        if behaviour is Behaviour.HANG:
            await reader.read(READ_SIZE_BYTES)
            self.abandoned_ids.append(request.request_id)
            return False
        if self.stage and not request.is_prefill:
            return await self._stream(request, writer, behaviour)
        if behaviour is Behaviour.DISCONNECT:
            writer.transport.abort()
            return False
        if request.is_prefill:
            await asyncio.sleep(self.prefill_s)
            return self._prefill(request, writer)
        return self._plain(request, writer, behaviour)

    def _plain(
        self,
        request: Received,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> bool:
        if behaviour is Behaviour.EXTRA_RESPONSE:
            other = Received('GET', '/', {'request-id': 'other'}, b'')
            writer.write(self._head(other, 200, b'not yours'))
        if behaviour is Behaviour.NO_REQUEST_ID:
            writer.write(self._unnamed(b'not yours'))
        status = 500 if behaviour is Behaviour.FAIL else 200
        body = f'{self.upstream_id} ran {request.request_id}'.encode()
        is_sealed = behaviour is not Behaviour.NO_SEAL
        writer.write(self._head(request, status, body, is_sealed=is_sealed))
        return True

    def _prefill(
        self,
        request: Received,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._handles += 1
        answer = {'handle': f'h{self._handles}', 'tokens': 10, 'version': 1}
        body = msgspec.json.encode(answer)
        writer.write(self._head(request, 200, body, is_sealed=False))
        return True

    async def _stream(
        self,
        request: Received,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> bool:
        first = int(request.headers.get('last-event-id', '0')) + 1
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'Request-Id: {request.request_id}\r\n'
            f'Response-Seal: seal-{self.upstream_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        for number in range(first, EVENT_COUNT + 1):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            if behaviour is Behaviour.DISCONNECT and number > BREAK_AFTER:
                writer.write(_chunk(event[:5]))
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.transport.abort()
                return False
            writer.write(_chunk(event))
            await asyncio.sleep(self.event_gap_s)
        writer.write(_chunk(b''))
        return True

    def _unnamed(self, body: bytes) -> bytes:
        """Returns a whole reply that doesn't say what it answers."""
        lines = (
            'HTTP/1.1 200 status',
            f'Response-Seal: seal-{self.upstream_id}',
            f'Content-Length: {len(body)}',
        )
        return '\r\n'.join((*lines, '', '')).encode() + body

    def _head(
        self,
        request: Received,
        status: int,
        body: bytes,
        *,
        is_sealed: bool = True,
    ) -> bytes:
        lines = [
            f'HTTP/1.1 {status} status',
            f'Request-Id: {request.request_id}',
            f'Instance-Id: {self.upstream_id}',
            'Instance-Load: 1,0,6',
            f'Content-Length: {len(body)}',
        ]
        if is_sealed:
            lines.append(f'Response-Seal: seal-{self.upstream_id}')
        return '\r\n'.join((*lines, '', '')).encode() + body


async def _read(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> Received | None:
    """Reads one whole request; ``None`` at the end of the connection."""
    head: h11.Request | None = None
    body = b''
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_SIZE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {
                name.decode('latin-1'): text.decode('latin-1')
                for name, text in head.headers
            }
            return Received(
                head.method.decode(),
                head.target.decode(),
                headers,
                body,
                time.monotonic(),
            )
        else:
            return None


def _chunk(data: bytes) -> bytes:
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def _refusal(request: Received) -> bytes:
    return (
        'HTTP/1.1 503 full\r\n'
        f'Request-Id: {request.request_id}\r\n'
        'Not-Executed: 1\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()


__all__ = ('EVENT_COUNT', 'Behaviour', 'Received', 'UpstreamStandin')
