"""Stand-in of an upstream: a plain service, a prefill or a decode engine."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11
import msgspec

from .received_request import HELD_PROMPTS_PATH, read_request
from .upstream_availability import UpstreamAvailability
from .upstream_behaviour import (
    HEALTHY_BEHAVIOURS,
    REFUSING_BEHAVIOURS,
    Behaviour,
)
from .upstream_exchange import UpstreamExchange, reset
from .upstream_replies import add_lines, refusal, response
from .upstream_run import run_request
from .upstream_stream import EVENT_COUNT

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .received_request import ReceivedRequest
    from .upstream_behaviour import RawReply

MIN_DOWNTIME_S = 1.0
MAX_DOWNTIME_S = 3.0


@dataclass
class UpstreamStandin:
    """Serves requests as scripted, and records what it received and ran.

    Attributes:
        upstream_id: Name, and first id in the store, which is the last part
            of its key.
        service: Service in the store.
        stage: Stage in the store, ``prefill`` or ``decode``; empty for plain
            upstreams.
        script: Behaviours of the next requests, one for each; requests
            beyond its end are served.
        received: All requests, including refused ones, but for checks.
        check_count: Number of health checks and calls for a report.
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
        handle_count: Number of handles that prefills have returned.
        resumed_failures: Number of resumed streams that will fail.
        version: Version of its software in the store.
        names_version: Whether the events of its streams name its version.
        held_parts: Parts of prompts that it has read since its start.
        availability: Whether it leaves or wants a pause, and its current id.
    """

    upstream_id: str
    service: str
    stage: str = ''
    script: deque[Behaviour | RawReply] = field(default_factory=deque)
    received: list[ReceivedRequest] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    abandoned_ids: list[str] = field(default_factory=list)
    check_count: int = 0
    endless_bytes: int = 0
    event_gap_s: float = 0.0
    prefill_s: float = 0.0
    pause_s: float = 1.2
    crashing_part: str = ''
    on_crash: Callable[[], None] | None = None
    on_restart: Callable[[], Awaitable[None]] | None = None
    crashes_s: list[float] = field(default_factory=list)
    faulty_ids: set[str] = field(default_factory=set)
    handle_count: int = 0
    resumed_failures: int = 0
    version: str = 'v1'
    names_version: bool = False
    held_parts: set[str] = field(default_factory=set)
    availability: UpstreamAvailability = field(init=False)
    _server: asyncio.Server | None = None
    _port: int = 0
    _running: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    _repeats: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)
    _restart: asyncio.Task[None] | None = None
    _is_down: bool = False

    def __post_init__(self) -> None:
        """Starts as the first incarnation."""
        self.availability = UpstreamAvailability(self.upstream_id)

    @property
    def instance_id(self) -> str:
        """Returns the id of the current incarnation in the store."""
        return f'{self.upstream_id}{self.availability.id_suffix}'

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
            'version': self.version,
            'slots': 6,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self.availability.started_ms,
        }
        if self.stage:
            entry['stage'] = self.stage
        return {**entry, **changed}

    async def start(self, port: int = 0) -> None:
        """Listens on a port of the loopback interface; 0 for a free one."""
        self._is_down = False
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

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Runs a request; returns whether the connection stays open."""
        return await run_request(exchange, behaviour)

    def reset_connections(self) -> None:
        """Resets all connections, as if the process were gone."""
        self.faulty_ids.update(self._running.values())
        for writer in self._running:
            reset(writer)

    def _crash(self) -> None:
        """Resets all connections; listens again after a time."""
        self._is_down = True
        self.held_parts.clear()
        self.crashes_s.append(time.monotonic())
        if self._server is not None:
            self._server.close()
        self.reset_connections()
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
        if self._is_down:
            # It was accepted just before the crash.
            reset(writer)
            return
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
                if request.is_check:
                    self._answer_check(request, writer)
                    protocol = h11.Connection(h11.SERVER)
                    continue
                self.received.append(request)
                self._running[writer] = request.request_id
                exchange = UpstreamExchange(
                    self,
                    request,
                    reader,
                    writer,
                    self.instance_id,
                    self.version if self.names_version else '',
                )
                if not await self._handle_request(exchange):
                    break
                # Responses are written without h11, so its state machine can't
                # go on to the next request.
                protocol = h11.Connection(h11.SERVER)
                self._running[writer] = ''
        del self._running[writer]
        self._repeats.pop(writer, None)
        writer.close()

    def _answer_check(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a health check, or a call for a report or held prompts."""
        self.check_count += 1
        lines = self.availability.answer_headers(request.request_id)
        body = b''
        if request.target == HELD_PROMPTS_PATH:
            body = self._held_prompts()
        reply = response(request, 200, self.instance_id, body, is_sealed=False)
        writer.write(add_lines(reply, lines))

    def _held_prompts(self) -> bytes:
        """Returns the list of the parts of prompts that it has read."""
        held = [['', part, 100, 'm'] for part in sorted(self.held_parts)]
        return msgspec.json.encode({'epoch': 1, 'next': 1, 'held': held})

    async def _handle_request(self, exchange: UpstreamExchange) -> bool:
        """Responds as scripted; returns whether the connection stays open."""
        request, writer = exchange.request, exchange.writer
        repeat = self._repeats.pop(writer, b'')
        writer.write(repeat)
        if request.headers.get('expect-instance') != self.instance_id:
            exchange.respond(421, b'', is_sealed=False)
            return True
        self.availability.record_arrival(request.request_id, request.at_s)
        if self.availability.refuses_requests():
            self._refuse(request, writer, Behaviour.REFUSE)
            return True
        behaviour = self.script.popleft() if self.script else Behaviour.SERVE
        if behaviour in REFUSING_BEHAVIOURS:
            self._refuse(request, writer, behaviour)
            return True
        self.held_parts.update(filter(None, request.prefix_ids))
        if not request.is_prefill:
            self.runs[request.request_id] += 1
        if repeat or behaviour not in HEALTHY_BEHAVIOURS:
            self.faulty_ids.add(request.request_id)
        is_crashing = self.crashing_part in request.prefix_ids[:-1]
        if is_crashing and not request.is_prefill:
            self._crash()
            return False
        return await self.run(exchange, behaviour)

    def _refuse(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour | RawReply,
    ) -> None:
        lines = self.availability.refusal_headers(request.request_id)
        writer.write(add_lines(refusal(request.request_id), lines))
        if behaviour is Behaviour.REPEAT_REFUSAL:
            self._repeats[writer] = refusal(request.request_id)
        if behaviour is Behaviour.REPEAT_UNNAMED:
            self._repeats[writer] = refusal()


__all__ = ('EVENT_COUNT', 'UpstreamStandin')
