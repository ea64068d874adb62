"""Stand-in for a model engine: serves the engine API with a simulated engine.

Usage: ``python -m catkinreach_standins.engine --port=9001 --role=prefill``.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from .append_sink import open_append_sink
from .engine_load import LoadReporter
from .engine_messages import (
    CancelCall,
    DecodeCall,
    EngineFaults,
    ImportCall,
    OrderCall,
    PrefillCall,
    ReadExportCall,
)
from .engine_options import EngineOptions
from .engine_results import RefusedCallError
from .engine_simulation import EngineSimulation
from .http import (
    BytesSink,
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
    sse_event,
)
from .process import serve_forever

if TYPE_CHECKING:
    from .engine_batch import RunningDecode

_Handler = Callable[[Request], Awaitable[Response]]


class Engine:
    """HTTP server of a simulated engine.

    Paths below ``/v1/`` are the engine API; those below ``/standin/`` serve
    other stand-ins and tests.
    """

    def __init__(self, options: EngineOptions) -> None:
        """Creates the simulation and the table of request handlers."""
        self._simulation = EngineSimulation(options)
        self._load_reporter = LoadReporter(
            self._simulation.sample_load, lag_s=options.load_lag_s
        )
        self._capture_sink = open_append_sink(options.capture_path)
        self._server = HttpServer(
            self._handle_request, on_bytes=self._new_bytes_sink()
        )
        self._load_sampler: asyncio.Task[None] | None = None
        self._import_tasks: set[asyncio.Task[Response]] = set()
        self._handlers: dict[tuple[str, str], _Handler] = {
            ('POST', '/v1/prefill'): self._handle_prefill,
            ('POST', '/v1/import'): self._handle_import,
            ('POST', '/v1/decode'): self._handle_decode,
            ('POST', '/v1/cancel'): self._handle_cancel,
            ('GET', '/v1/holdings'): self._handle_holdings,
            ('GET', '/v1/load'): self._handle_load,
            ('GET', '/v1/cache-events'): self._handle_cache_events,
            ('POST', '/v1/orders'): self._handle_order,
            ('GET', '/v1/state'): self._handle_state,
            ('POST', '/standin/export'): self._handle_read_export,
            ('POST', '/standin/faults'): self._handle_faults,
            ('GET', '/standin/record'): self._handle_record,
        }

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Starts to listen on the address and to sample the load."""
        await self._server.start(host, port)
        self._load_sampler = asyncio.create_task(self._load_reporter.run())

    async def close(self) -> None:
        """Stops listening and sampling."""
        await self._server.close()
        if self._load_sampler is not None:
            self._load_sampler.cancel()

    def _new_bytes_sink(self) -> BytesSink:
        def count_and_capture(chunk: bytes) -> None:
            self._simulation.record.bytes_received += len(chunk)
            if self._capture_sink is not None:
                self._capture_sink(chunk)

        return count_and_capture

    async def _handle_request(self, request: Request) -> Response:
        if not request.path.startswith('/standin/'):
            self._simulation.record.header_names.update(request.headers)
        handler = self._handlers.get((request.method, request.path))
        boot_id = self._simulation.boot_id
        try:
            response = (
                error_response(HTTPStatus.NOT_FOUND, 'not-found')
                if handler is None
                else await handler(request)
            )
        except RefusedCallError as error:
            response = self._refusal_response(error)
        except msgspec.DecodeError as error:
            logger.warning('engine: bad request: {}', error)
            response = error_response(HTTPStatus.BAD_REQUEST, 'bad-request')
        return Response(
            status=response.status,
            body=response.body,
            headers={**response.headers, 'x-engine-boot': boot_id},
            stream=response.stream,
            content_type=response.content_type,
        )

    def _refusal_response(self, error: RefusedCallError) -> Response:
        if error.status == HTTPStatus.CONFLICT:
            payload = {
                'error': error.code,
                'current': self._simulation.fencing_number,
            }
            return json_response(payload, status=error.status)
        return error_response(error.status, error.code)

    async def _handle_prefill(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=PrefillCall)
        return json_response(await self._simulation.prefill(call))

    async def _handle_import(self, request: Request) -> Response:
        """Completes the import even if the client disconnects meanwhile."""
        call = msgspec.json.decode(request.body, type=ImportCall)
        task = asyncio.create_task(self._run_import(call))
        self._import_tasks.add(task)
        task.add_done_callback(self._import_tasks.discard)
        return await asyncio.shield(task)

    async def _run_import(self, call: ImportCall) -> Response:
        try:
            holding = await self._simulation.import_export(call)
        except RefusedCallError as error:
            return self._refusal_response(error)
        payload = {'import_id': holding.key, 'kv_pieces': holding.kv_pieces}
        return json_response(payload)

    async def _handle_decode(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=DecodeCall)
        decode = self._simulation.start_decode(call)
        return Response(
            stream=self._token_events(decode, call),
            content_type='text/event-stream',
        )

    async def _token_events(
        self,
        decode: RunningDecode,
        call: DecodeCall,
    ) -> AsyncIterator[bytes]:
        next_index = call.skip
        async for index, token in self._simulation.stream_tokens(decode):
            yield sse_event({'index': index, 'token': token})
            next_index = index + 1
        if next_index >= call.max_tokens:
            yield sse_event(
                {
                    'done': True,
                    'finish': 'length',
                    'completion_tokens': next_index,
                }
            )

    async def _handle_cancel(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=CancelCall)
        return json_response(
            {'released': self._simulation.cancel_request(call.request_id)}
        )

    async def _handle_holdings(self, _: Request) -> Response:
        now_s = time.monotonic()
        holdings_json = [
            {
                'request_id': holding.request_id,
                'holder': holding.holder,
                'kind': holding.kind,
                'kv_pieces': holding.kv_pieces,
                'age_s': now_s - holding.since_s,
            }
            for holding in self._simulation.memory.holdings
        ]
        return json_response({'holdings': holdings_json})

    async def _handle_load(self, _: Request) -> Response:
        sample = self._load_reporter.reported_load()
        return json_response(
            {
                'boot': self._simulation.boot_id,
                'running': sample.running,
                'waiting': sample.waiting,
                'places': self._simulation.options.places,
                'kv_pieces_free': sample.kv_pieces_free,
                'kv_pieces_total': self._simulation.memory.total_pieces,
                'reported_age_s': time.monotonic() - sample.at_s,
            }
        )

    async def _handle_cache_events(self, request: Request) -> Response:
        try:
            after_seq = int(request.query.get('after', '0'))
        except ValueError:
            return error_response(HTTPStatus.BAD_REQUEST, 'bad-request')
        events = self._simulation.cache.events_after(
            after_seq, time.monotonic()
        )
        return json_response({'events': events})

    async def _handle_order(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=OrderCall)
        self._simulation.apply_order(call)
        return json_response({'fence': self._simulation.fencing_number})

    async def _handle_state(self, _: Request) -> Response:
        return json_response(
            {
                'boot': self._simulation.boot_id,
                'role': self._simulation.role,
                'models': self._simulation.models,
                'versions': self._simulation.versions,
                'fence': self._simulation.fencing_number,
            }
        )

    async def _handle_read_export(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=ReadExportCall)
        return json_response(self._simulation.read_export(call))

    async def _handle_faults(self, request: Request) -> Response:
        faults = msgspec.json.decode(request.body, type=EngineFaults)
        self._simulation.set_faults(faults)
        return json_response({})

    async def _handle_record(self, _: Request) -> Response:
        self._simulation.record.max_running = self._simulation.max_running
        return json_response(self._simulation.record)


def main(argv: list[str]) -> None:
    """Runs an engine until the process is ended."""
    options = EngineOptions.from_argv(argv)
    asyncio.run(_run(options))


async def _run(options: EngineOptions) -> None:
    engine = Engine(options)
    await serve_forever(engine, name=options.name, port=options.port)


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('Engine', 'main')
