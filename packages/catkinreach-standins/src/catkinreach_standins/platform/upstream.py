"""Stand-in of an upstream: a plain service, a prefill or a decode engine."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

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
    HEALTHY_BEHAVIOURS,
    REFUSING_BEHAVIOURS,
    SILENCE_S,
    Behaviour,
    EndlessReply,
    RawReply,
    endless_reply,
)
from .upstream_replies import (
    StreamFraming,
    partial_head,
    refusal,
    response_without_length,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

EVENT_COUNT = 6
MIN_DOWNTIME_S = 1.0
MAX_DOWNTIME_S = 3.0
_LINGER_ZERO = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which closing a socket sends a TCP reset."""

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
        crashing_part: Id of a part of a prompt; a stream whose prompt holds it
            makes the engine crash. Empty for none.
        on_crash: Called at a crash, and ``on_restart`` after the restart.
        crashes_s: Monotonic times of the crashes.
        faulty_ids: Ids of requests that ran and whose response was faulty
            or was lost in a crash.
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
    crashing_part: str = ''
    on_crash: Callable[[], None] | None = None
    on_restart: Callable[[], Awaitable[None]] | None = None
    crashes_s: list[float] = field(default_factory=list)
    faulty_ids: set[str] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _port: int = 0
    _handle_count: int = 0
    _resumed_failures: int = 0
    _running: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    _repeats: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)
    _restart: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Returns the listening address as ``host:port``."""
        assert self._port  # noqa: S101 - it has started
        return f'127.0.0.1:{self._port}'

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

    async def start(self, port: int = 0) -> None:
        """Listens on a port of the loopback interface; 0 for a free one."""
        self._server = await asyncio.start_server(
            self._serve_connection, '127.0.0.1', port, backlog=256
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening; open connections go on."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            self._server.close()

    def _crash(self) -> None:
        """Resets all connections; listens again after a time."""
        self.crashes_s.append(time.monotonic())
        if self._server is not None:
            self._server.close()
        self.faulty_ids.update(self._running.values())
        for writer in self._running:
            _reset(writer)
        if self.on_crash is not None:
            self.on_crash()
        self._restart = asyncio.create_task(self._start_later())

    async def _start_later(self) -> None:
        downtime_s = random.uniform(MIN_DOWNTIME_S, MAX_DOWNTIME_S)
        await asyncio.sleep(downtime_s)
        await self.start(self._port)
        if self.on_restart is not None:
            await self.on_restart()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        protocol = h11.Connection(h11.SERVER)
        self._running[writer] = ''
        connection_errors = (
            OSError,
            h11.RemoteProtocolError,
            asyncio.CancelledError,
        )
        with suppress(*connection_errors):
            while (request := await read_request(protocol, reader)) is not None:
                if writer.is_closing():
                    break
                self.received.append(request)
                self._running[writer] = request.request_id
                if not await self._handle_request(request, reader, writer):
                    break
                # Responses are written without h11, so its state machine can't
                # go on to the next request.
                protocol = h11.Connection(h11.SERVER)
                self._running[writer] = ''
        del self._running[writer]
        self._repeats.pop(writer, None)
        writer.close()

    async def _handle_request(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Responds as scripted; returns whether the connection stays open."""
        repeat = self._repeats.pop(writer, b'')
        writer.write(repeat)
        if request.headers.get('expect-instance') != self.upstream_id:
            writer.write(self._response(request, 421, b'', is_sealed=False))
            return True
        behaviour = self.script.popleft() if self.script else Behaviour.SERVE
        if behaviour in REFUSING_BEHAVIOURS:
            self._refuse(request, writer, behaviour)
            return True
        if not request.is_prefill:
            self.runs[request.request_id] += 1
        if repeat or behaviour not in HEALTHY_BEHAVIOURS:
            self.faulty_ids.add(request.request_id)
        return await self._run_request(request, reader, writer, behaviour)

    async def _run_request(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour | RawReply,
    ) -> bool:
        """Runs a request; returns whether the connection stays open."""
        is_crashing = self.crashing_part in request.prefix_ids[:-1]
        if is_crashing and not request.is_prefill:
            self._crash()
            return False
        if behaviour is Behaviour.SILENT_START:
            await asyncio.sleep(SILENCE_S)
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
        await asyncio.sleep(reply.delay_s)
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
        if behaviour is Behaviour.CUT_HEAD:
            writer.write(partial_head(request, self.upstream_id))
            return False
        if self.stage and not request.is_prefill:
            return await self._respond_stream(
                request, reader, writer, behaviour
            )
        if behaviour is Behaviour.DISCONNECT:
            writer.transport.abort()
            return False
        if request.is_prefill:
            await asyncio.sleep(self.prefill_s)
            return self._respond_prefill(request, writer)
        if behaviour is Behaviour.PAUSE:
            await self._pause(request, reader)
        if behaviour in {Behaviour.CLOSED_END, Behaviour.RESET_BODY}:
            await self._respond_without_length(request, writer, behaviour)
            return False
        await self._respond_plain(request, writer, behaviour)
        return True

    def _refuse(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> None:
        writer.write(refusal(request.request_id))
        if behaviour is Behaviour.REPEAT_REFUSAL:
            self._repeats[writer] = refusal(request.request_id)
        if behaviour is Behaviour.REPEAT_UNNAMED:
            self._repeats[writer] = refusal()

    async def _respond_without_length(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> None:
        body = self._plain_body(request)
        if behaviour is Behaviour.CLOSED_END:
            writer.write(
                response_without_length(request, self.upstream_id, body)
            )
            return
        writer.write(
            response_without_length(request, self.upstream_id, body[:-3])
        )
        await asyncio.sleep(0.01)
        _reset(writer)

    def _plain_body(self, request: ReceivedRequest) -> bytes:
        return f'{self.upstream_id} ran {request.request_id}'.encode()

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

    async def _respond_plain(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> None:
        if behaviour is Behaviour.EXTRA_RESPONSE:
            other = ReceivedRequest('GET', '/', {'request-id': 'other'}, b'')
            writer.write(self._response(other, 200, b'not yours'))
        if behaviour is Behaviour.NO_REQUEST_ID:
            writer.write(self._response_without_request_id(b'not yours'))
        status = 500 if behaviour is Behaviour.FAIL else 200
        body = self._plain_body(request)
        is_sealed = behaviour is not Behaviour.NO_SEAL
        response = self._response(request, status, body, is_sealed=is_sealed)
        if behaviour is Behaviour.SILENT_MIDWAY:
            writer.write(response[:-3])
            await asyncio.sleep(SILENCE_S)
            response = response[-3:]
        writer.write(response)

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

    async def _respond_stream(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
    ) -> bool:
        """Sends a stream, or an error if the next resumed one fails."""
        if behaviour is Behaviour.FAIL_RESUMED:
            self._resumed_failures += 1
            behaviour = Behaviour.DISCONNECT
        is_resumed = request.headers.get('last-event-id', '0') != '0'
        if is_resumed and self._resumed_failures:
            self._resumed_failures -= 1
            self.faulty_ids.add(request.request_id)
            writer.write(self._response(request, 500, b'engine failed'))
            return True
        is_chunked = behaviour not in {
            Behaviour.CLOSED_END,
            Behaviour.RESET_BODY,
        }
        framing = StreamFraming(is_chunked=is_chunked)
        return await self._send_stream(
            request, reader, writer, behaviour, framing
        )

    async def _send_stream(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
        framing: StreamFraming,
    ) -> bool:
        first_event_id = int(request.headers.get('last-event-id', '0')) + 1
        writer.write(framing.head(request, self.upstream_id))
        for event_id in range(first_event_id, EVENT_COUNT + 1):
            event = f'id: {event_id}\ndata: token {event_id}\n\n'.encode()
            is_midway = event_id > EVENTS_BEFORE_DISCONNECT
            if is_midway and behaviour is Behaviour.DISCONNECT:
                writer.write(framing.encode(event[:5]))
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.transport.abort()
                return False
            if behaviour is _PAUSES.get(event_id - first_event_id):
                await self._pause(request, reader)
            if is_midway and behaviour is Behaviour.RESET_BODY:
                _reset(writer)
                return False
            if is_midway and behaviour is Behaviour.SILENT_MIDWAY:
                await asyncio.sleep(SILENCE_S)
                behaviour = Behaviour.SERVE
            writer.write(framing.encode(event))
            await asyncio.sleep(self.event_gap_s)
        writer.write(framing.end())
        return framing.is_chunked

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


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    with suppress(OSError, AttributeError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
        )
    writer.transport.abort()


__all__ = ('EVENT_COUNT', 'UpstreamStandin')
