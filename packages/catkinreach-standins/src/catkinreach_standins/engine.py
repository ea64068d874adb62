"""Stand-in of a model engine.

Run as ``python -m catkinreach_standins.engine --port=9001 --role=prefill``.
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
from .engine_messages import (
    CancelCall,
    DecodeCall,
    EngineFaults,
    ExportRead,
    ImportCall,
    OrderCall,
    PrefillCall,
)
from .engine_model import EngineError, EngineModel
from .engine_options import EngineOptions
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
    from .engine_batch import DecodeRun

_Route = Callable[[Request], Awaitable[Response]]


class Engine:
    """HTTP calls of an engine over its model."""

    def __init__(self, options: EngineOptions) -> None:
        """Build the model and the route table."""
        self._model = EngineModel(options)
        self._capture = open_append_sink(options.capture_path)
        self._server = HttpServer(self._serve, on_bytes=self._count_bytes())
        self._sampler: asyncio.Task[None] | None = None
        self._imports: set[asyncio.Task[Response]] = set()
        self._routes: dict[tuple[str, str], _Route] = {
            ('POST', '/v1/prefill'): self._prefill,
            ('POST', '/v1/import'): self._import,
            ('POST', '/v1/decode'): self._decode,
            ('POST', '/v1/cancel'): self._cancel,
            ('GET', '/v1/holdings'): self._holdings,
            ('GET', '/v1/load'): self._load,
            ('GET', '/v1/cache-events'): self._cache_events,
            ('POST', '/v1/orders'): self._order,
            ('GET', '/v1/state'): self._state,
            ('POST', '/standin/export'): self._export,
            ('POST', '/standin/faults'): self._faults,
            ('GET', '/standin/record'): self._record,
        }

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Listen on the address and start to sample the load."""
        await self._server.start(host, port)
        self._sampler = asyncio.create_task(self._model.sample_forever())

    async def close(self) -> None:
        """Stop listening and sampling."""
        await self._server.close()
        if self._sampler is not None:
            self._sampler.cancel()

    def _count_bytes(self) -> BytesSink:
        def count(chunk: bytes) -> None:
            self._model.record.bytes_received += len(chunk)
            if self._capture is not None:
                self._capture(chunk)

        return count

    async def _serve(self, request: Request) -> Response:
        if not request.path.startswith('/standin/'):
            self._model.record.header_names.update(request.headers)
        route = self._routes.get((request.method, request.path))
        boot = self._model.boot
        try:
            response = (
                error_response(HTTPStatus.NOT_FOUND, 'not-found')
                if route is None
                else await route(request)
            )
        except EngineError as error:
            response = self._refusal(error)
        except msgspec.DecodeError as error:
            logger.warning('engine: bad request: {}', error)
            response = error_response(HTTPStatus.BAD_REQUEST, 'bad-request')
        return Response(
            status=response.status,
            body=response.body,
            headers={**response.headers, 'x-engine-boot': boot},
            stream=response.stream,
            content_type=response.content_type,
        )

    def _refusal(self, error: EngineError) -> Response:
        if error.status == HTTPStatus.CONFLICT:
            payload = {'error': error.code, 'current': self._model.fence}
            return json_response(payload, status=error.status)
        return error_response(error.status, error.code)

    async def _prefill(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=PrefillCall)
        return json_response(await self._model.prefill(call))

    async def _import(self, request: Request) -> Response:
        """Import to the end, even when the client has gone."""
        call = msgspec.json.decode(request.body, type=ImportCall)
        task = asyncio.create_task(self._import_whole(call))
        self._imports.add(task)
        task.add_done_callback(self._imports.discard)
        return await asyncio.shield(task)

    async def _import_whole(self, call: ImportCall) -> Response:
        try:
            held = await self._model.import_export(call)
        except EngineError as error:
            return self._refusal(error)
        payload = {'import_id': held.key, 'kv_pieces': held.kv_pieces}
        return json_response(payload)

    async def _decode(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=DecodeCall)
        run = self._model.start_decode(call)
        return Response(
            stream=self._token_events(run, call),
            content_type='text/event-stream',
        )

    async def _token_events(
        self,
        run: DecodeRun,
        call: DecodeCall,
    ) -> AsyncIterator[bytes]:
        next_index = call.skip
        async for index, token in self._model.tokens(run):
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

    async def _cancel(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=CancelCall)
        return json_response({'released': self._model.cancel(call.request_id)})

    async def _holdings(self, _: Request) -> Response:
        now_s = time.monotonic()
        listed = [
            {
                'request_id': held.request_id,
                'holder': held.holder,
                'kind': held.kind,
                'kv_pieces': held.kv_pieces,
                'age_s': now_s - held.since_s,
            }
            for held in self._model.memory.holdings
        ]
        return json_response({'holdings': listed})

    async def _load(self, _: Request) -> Response:
        sample = self._model.reported_load()
        return json_response(
            {
                'boot': self._model.boot,
                'running': sample.running,
                'waiting': sample.waiting,
                'places': self._model.options.places,
                'kv_pieces_free': sample.kv_pieces_free,
                'kv_pieces_total': self._model.memory.total_pieces,
                'reported_age_s': time.monotonic() - sample.at_s,
            }
        )

    async def _cache_events(self, request: Request) -> Response:
        try:
            after = int(request.query.get('after', '0'))
        except ValueError:
            return error_response(HTTPStatus.BAD_REQUEST, 'bad-request')
        events = self._model.cache.events_after(after, time.monotonic())
        return json_response({'events': events})

    async def _order(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=OrderCall)
        self._model.apply_order(call)
        return json_response({'fence': self._model.fence})

    async def _state(self, _: Request) -> Response:
        return json_response(
            {
                'boot': self._model.boot,
                'role': self._model.role,
                'models': self._model.models,
                'versions': self._model.versions,
                'fence': self._model.fence,
            }
        )

    async def _export(self, request: Request) -> Response:
        read = msgspec.json.decode(request.body, type=ExportRead)
        return json_response(self._model.read_export(read))

    async def _faults(self, request: Request) -> Response:
        faults = msgspec.json.decode(request.body, type=EngineFaults)
        self._model.set_faults(faults)
        return json_response({})

    async def _record(self, _: Request) -> Response:
        self._model.record.max_running = self._model.max_running
        return json_response(self._model.record)


def main(argv: list[str]) -> None:
    """Run an engine until it is ended."""
    options = EngineOptions.from_argv(argv)
    asyncio.run(_run(options))


async def _run(options: EngineOptions) -> None:
    engine = Engine(options)
    await serve_forever(engine, name=options.name, port=options.port)


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('Engine', 'main')
