"""Stand-in of an upstream: a plain service, a prefill or a decode engine."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field

import h11
import msgspec

from .received_request import (
    READ_SIZE_BYTES,
    ReceivedRequest,
    read_request,
)
from .upstream_behaviour import (
    EVENTS_BEFORE_DISCONNECT,
    EVENTS_BEFORE_PAUSE,
    Behaviour,
    EndlessReply,
    RawReply,
    encode_chunk,
    endless_reply,
)

EVENT_COUNT = 6

_PAUSES = {0: Behaviour.PAUSE_FIRST, EVENTS_BEFORE_PAUSE: Behaviour.PAUSE}
"""Behaviours that pause a stream, by the number of events sent before."""

RESET_DELAY_S = 0.05
"""Time for the sent bytes to arrive before the connection is reset."""


@dataclass
class UpstreamStandin:
    """Serves requests as scripted, and records what it received and ran.

    Attributes:
        upstream_id: Id in the store; the last part of its key.
        service: Service in the store.
        stage: Stage in the store, ``prefill`` or ``decode``; empty for plain
            upstreams.
        script: Behaviours of the next requests, one for each; requests
            beyond its end are served.
        received: All requests, including refused ones.
        runs: Executions by request id; prefills aren't counted.
        endless_bytes: Bytes sent by the endless behaviours.
        abandoned_ids: Ids of requests that hung or paused until their
            connection was closed.
        event_gap_s: Pause after each event of a stream.
        prefill_s: Duration of a prefill.
        pause_s: Pause of the behaviours that pause.
    """

    upstream_id: str
    service: str
    stage: str = ''
    script: deque[Behaviour | RawReply] = field(default_factory=deque)
    received: list[ReceivedRequest] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    abandoned_ids: list[str] = field(default_factory=list)
    endless_bytes: int = 0
    event_gap_s: float = 0.0
    prefill_s: float = 0.0
    pause_s: float = 1.2
    _server: asyncio.Server | None = None
    _handle_count: int = 0

    @property
    def address(self) -> str:
        """Returns the listening address as ``host:port``."""
        assert self._server is not None  # noqa: S101 - narrows the type
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    @property
    def is_listening(self) -> bool:
        """Returns whether the upstream accepts connections."""
        return self._server is not None and self._server.is_serving()

    def entry(self, **changed: object) -> dict[str, object]:
        """Returns the upstream's entry for the store."""
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
        """Listens on a free port of the loopback interface."""
        self._server = await asyncio.start_server(
            self._serve_connection, '127.0.0.1', 0, backlog=256
        )

    def close(self) -> None:
        """Stops listening; open connections go on."""
        if self._server is not None:
            self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        protocol = h11.Connection(h11.SERVER)
        connection_errors = (
            OSError,
            h11.RemoteProtocolError,
            asyncio.CancelledError,
        )
        with suppress(*connection_errors):
            while (request := await read_request(protocol, reader)) is not None:
                self.received.append(request)
                if not await self._handle_request(request, reader, writer):
                    break
                # Responses are written without h11, so its state machine can't
                # go on to the next request.
                protocol = h11.Connection(h11.SERVER)
        writer.close()

    async def _handle_request(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Responds as scripted; returns whether the connection stays open."""
        if request.headers.get('expect-instance') != self.upstream_id:
            writer.write(self._response(request, 421, b'', is_sealed=False))
            return True
        behaviour = self.script.popleft() if self.script else Behaviour.SERVE
        if behaviour is Behaviour.REFUSE:
            writer.write(_refusal_response(request))
            return True
        if not request.is_prefill:
            self.runs[request.request_id] += 1
        if behaviour is Behaviour.HANG:
            await reader.read(READ_SIZE_BYTES)
            self.abandoned_ids.append(request.request_id)
            return False
        if isinstance(behaviour, RawReply):
            return await self._send_raw(request, writer, behaviour)
        endless = endless_reply(behaviour, request, self.upstream_id)
        if endless is not None:
            await self._send_without_end(request, writer, endless)
            return False
        return await self._respond(request, reader, writer, behaviour)

    async def _send_raw(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        reply: RawReply,
    ) -> bool:
        """Sends scripted bytes; returns whether the connection stays open."""
        writer.write(reply.data.replace(b'{id}', request.request_id.encode()))
        await writer.drain()
        if reply.is_reset:
            await asyncio.sleep(RESET_DELAY_S)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        return reply.stays_open

    async def _respond(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> bool:
        """Sends the response; returns whether the connection stays open."""
        if self.stage and not request.is_prefill:
            return await self._send_stream(request, reader, writer, behaviour)
        if behaviour is Behaviour.DISCONNECT:
            writer.transport.abort()
            return False
        if request.is_prefill:
            await asyncio.sleep(self.prefill_s)
            return self._respond_prefill(request, writer)
        if behaviour is Behaviour.PAUSE:
            await self._pause(request, reader)
        return self._respond_plain(request, writer, behaviour)

    async def _pause(
        self, request: ReceivedRequest, reader: asyncio.StreamReader
    ) -> None:
        """Waits for the pause to end or the gateway to close."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.pause_s):
                await reader.read(READ_SIZE_BYTES)
            self.abandoned_ids.append(request.request_id)

    async def _send_without_end(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        reply: EndlessReply,
    ) -> None:
        """Sends bytes until the gateway closes the connection."""
        writer.write(reply.start)
        with suppress(OSError):
            while not writer.is_closing():
                writer.write(reply.part)
                self.endless_bytes += len(reply.part)
                await writer.drain()
                await asyncio.sleep(0)
        self.abandoned_ids.append(request.request_id)

    def _respond_plain(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> bool:
        if behaviour is Behaviour.EXTRA_RESPONSE:
            other = ReceivedRequest('GET', '/', {'request-id': 'other'}, b'')
            writer.write(self._response(other, 200, b'not yours'))
        if behaviour is Behaviour.NO_REQUEST_ID:
            writer.write(self._response_without_request_id(b'not yours'))
        status = 500 if behaviour is Behaviour.FAIL else 200
        body = f'{self.upstream_id} ran {request.request_id}'.encode()
        is_sealed = behaviour is not Behaviour.NO_SEAL
        writer.write(self._response(request, status, body, is_sealed=is_sealed))
        return True

    def _respond_prefill(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._handle_count += 1
        result = {
            'handle': f'h{self._handle_count}',
            'tokens': 10,
            'version': 1,
        }
        body = msgspec.json.encode(result)
        writer.write(self._response(request, 200, body, is_sealed=False))
        return True

    async def _send_stream(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> bool:
        first_event_id = int(request.headers.get('last-event-id', '0')) + 1
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'Request-Id: {request.request_id}\r\n'
            f'Response-Seal: seal-{self.upstream_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        for event_id in range(first_event_id, EVENT_COUNT + 1):
            event = f'id: {event_id}\ndata: token {event_id}\n\n'.encode()
            if (
                behaviour is Behaviour.DISCONNECT
                and event_id > EVENTS_BEFORE_DISCONNECT
            ):
                writer.write(encode_chunk(event[:5]))
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.transport.abort()
                return False
            if behaviour is _PAUSES.get(event_id - first_event_id):
                await self._pause(request, reader)
            writer.write(encode_chunk(event))
            await asyncio.sleep(self.event_gap_s)
        writer.write(encode_chunk(b''))
        return True

    def _response_without_request_id(self, body: bytes) -> bytes:
        """Returns a complete response without a ``Request-Id`` header."""
        lines = (
            'HTTP/1.1 200 status',
            f'Response-Seal: seal-{self.upstream_id}',
            f'Content-Length: {len(body)}',
        )
        return '\r\n'.join((*lines, '', '')).encode() + body

    def _response(
        self,
        request: ReceivedRequest,
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


def _refusal_response(request: ReceivedRequest) -> bytes:
    return (
        'HTTP/1.1 503 full\r\n'
        f'Request-Id: {request.request_id}\r\n'
        'Not-Executed: 1\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()


__all__ = ('EVENT_COUNT', 'UpstreamStandin')
