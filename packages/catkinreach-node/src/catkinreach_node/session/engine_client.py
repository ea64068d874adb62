"""Client of the engine API: prefill, import, decode and cancel.

A prefill engine holds the computed KV cache as an export. A decode engine
imports it and generates the answer from it.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

import msgspec

from catkinreach_core.cell.reservations import FailureKind
from catkinreach_core.documents import (
    DocumentError,
    decode_document,
    decode_json,
)
from catkinreach_core.settings.node import Address

from ..http.connection import ConnectError, ExchangeError
from ..http.messages import JSON_TYPE, HttpRequest
from .engine_answers import (
    DecodeEvent,
    EngineError,
    ImportAnswer,
    PrefillAnswer,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_core.ids import RequestId
    from catkinreach_core.settings.fleet import Upstream

    from ..http.client import ClientResponse, HttpClient
    from .engine_answers import Holder

PREFILL_BASE_TIMEOUT_S = 3.0
PREFILL_TIMEOUT_PER_TOKEN_S = 0.001
IMPORT_BASE_TIMEOUT_S = 1.2
"""Time, with that for the pieces, after which an import is late."""

IMPORT_TIMEOUT_PER_PIECE_S = 0.05
CANCEL_TIMEOUT_S = 2.0
ERROR_TEXT_TIMEOUT_S = 0.25
"""Time in which a decode's refusal has to be whole, or its text is left out."""

_HTTP_OK = 200
_EVENT_END = b'\n\n'
_DATA_PREFIX = b'data: '

MAX_EVENT_BYTES = 64 * 1024
"""Bytes without the end of an event from which a decode has failed."""


def import_timeout_s(kv_pieces: int) -> float:
    """Returns the time in which an export of a size is usually imported."""
    return IMPORT_BASE_TIMEOUT_S + IMPORT_TIMEOUT_PER_PIECE_S * kv_pieces


AnswerT = TypeVar('AnswerT', PrefillAnswer, ImportAnswer)

_event_decoder = msgspec.json.Decoder(DecodeEvent)


def upstream_address(upstream: Upstream) -> Address:
    """Returns the address of an upstream."""
    return Address(upstream.host, upstream.port)


class EngineClient:
    """Calls engines on behalf of one incarnation of a node.

    Each call has a connection of its own: an engine's response doesn't name the
    call, and another request's export or stream must not reach the caller.
    """

    def __init__(self, client: HttpClient, holder: Holder) -> None:
        """Sends calls through ``client``; ``holder`` identifies this node."""
        self._client = client
        self._holder = holder

    async def prefill(
        self,
        upstream: Upstream,
        request_id: RequestId,
        model: str,
        prompt: tuple[int, ...],
        *,
        priority: int = 0,
        trace: str = '',
    ) -> PrefillAnswer:
        """Runs a prefill; its KV cache stays on the engine as an export."""
        body = await self._call(
            upstream,
            '/v1/prefill',
            {
                'request_id': request_id,
                'holder': self._holder,
                'model': model,
                'prompt': prompt,
                'priority': priority,
            },
            timeout_s=PREFILL_BASE_TIMEOUT_S
            + PREFILL_TIMEOUT_PER_TOKEN_S * len(prompt),
            trace=trace,
        )
        return _decode_answer(body, PrefillAnswer)

    async def import_kv(
        self,
        upstream: Upstream,
        request_id: RequestId,
        source: Upstream,
        export_id: str,
        *,
        timeout_s: float = IMPORT_BASE_TIMEOUT_S,
        trace: str = '',
    ) -> ImportAnswer:
        """Transfers an export to a decode engine and returns the import.

        Args:
            upstream: The decode engine, which fetches the export.
            request_id: Id under which the engines know the attempt.
            source: The prefill engine that holds the export.
            export_id: Id of the export on the prefill engine.
            timeout_s: Time after which the call fails.
            trace: ``traceparent`` header, ``''`` without a trace.

        Raises:
            EngineError: if the engine refuses or does not complete the call.
        """
        body = await self._call(
            upstream,
            '/v1/import',
            {
                'request_id': request_id,
                'holder': self._holder,
                'source': str(upstream_address(source)),
                'export_id': export_id,
            },
            timeout_s=timeout_s,
            trace=trace,
        )
        return _decode_answer(body, ImportAnswer)

    @asynccontextmanager
    async def decode(
        self,
        upstream: Upstream,
        request_id: RequestId,
        model: str,
        import_id: str,
        *,
        max_tokens: int,
        skip: int = 0,
        priority: int = 0,
        trace: str = '',
    ) -> AsyncIterator[AsyncIterator[list[DecodeEvent]]]:
        """Starts a decode and yields its events in batches as they arrive.

        Args:
            upstream: The decode engine.
            request_id: Id under which the engines know the attempt.
            model: Model name from the caller's request.
            import_id: Id of the imported KV cache on the decode engine.
            max_tokens: Largest number of tokens in the whole answer.
            skip: Number of tokens received in earlier attempts; the engine
                sends events only for the tokens after them.
            priority: Engines run lower values first.
            trace: ``traceparent`` header, ``''`` without a trace.

        Raises:
            EngineError: if the engine refuses or does not complete the call.
        """
        request = _json_request(
            '/v1/decode',
            {
                'request_id': request_id,
                'holder': self._holder,
                'model': model,
                'import_id': import_id,
                'max_tokens': max_tokens,
                'skip': skip,
                'priority': priority,
            },
            trace,
        )
        try:
            async with self._client.exchange(
                upstream_address(upstream), request, is_new_connection=True
            ) as response:
                if response.status != _HTTP_OK:
                    raise EngineError(
                        response.status, await _read_error_text(response)
                    )
                yield _decode_events(response)
        except ConnectError as error:
            raise _unreachable_error(error) from error
        except ExchangeError as error:
            raise _disconnected_error(error) from error

    async def check_connect(self, upstream: Upstream) -> None:
        """Checks that an engine accepts a connection.

        Raises:
            EngineError: if it doesn't.
        """
        try:
            await self._client.check_connect(upstream_address(upstream))
        except ConnectError as error:
            raise _unreachable_error(error) from error

    async def cancel(self, upstream: Upstream, request_id: RequestId) -> None:
        """Cancels a request, so that the engine frees its memory."""
        await self._call(
            upstream,
            '/v1/cancel',
            {'request_id': request_id},
            timeout_s=CANCEL_TIMEOUT_S,
        )

    async def _call(
        self,
        upstream: Upstream,
        target: str,
        document: object,
        *,
        timeout_s: float,
        trace: str = '',
    ) -> bytes:
        request = _json_request(target, document, trace)
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._client.exchange(
                    upstream_address(upstream), request, is_new_connection=True
                ) as response,
            ):
                body = await response.read()
        except TimeoutError as error:
            raise EngineError(
                0, f'no response within {timeout_s} s', FailureKind.STALLED
            ) from error
        except ConnectError as error:
            raise _unreachable_error(error) from error
        except ExchangeError as error:
            raise _disconnected_error(error) from error
        if response.status != _HTTP_OK:
            raise EngineError(response.status, _error_text(body))
        return body


def _decode_answer(body: bytes, answer_type: type[AnswerT]) -> AnswerT:
    try:
        return decode_json(body, answer_type)
    except DocumentError as error:
        raise EngineError(0, f'malformed response: {error}') from error


def _json_request(target: str, document: object, trace: str) -> HttpRequest:
    headers = [('content-type', JSON_TYPE)]
    if trace:
        headers.append(('traceparent', trace))
    return HttpRequest(
        method='POST',
        target=target,
        headers=headers,
        body=msgspec.json.encode(document),
    )


def _unreachable_error(error: ConnectError) -> EngineError:
    return EngineError(0, str(error), FailureKind.UNREACHABLE)


def _disconnected_error(error: ExchangeError) -> EngineError:
    return EngineError(0, str(error), FailureKind.DISCONNECTED)


def _error_text(body: bytes) -> str:
    return body[:200].decode('utf-8', 'replace')


async def _read_error_text(response: ClientResponse) -> str:
    """Returns the text of a refusal, whose head says all."""
    try:
        async with asyncio.timeout(ERROR_TEXT_TIMEOUT_S):
            return _error_text(await response.read())
    except TimeoutError:
        return 'without a whole text'


async def _decode_events(
    response: ClientResponse,
) -> AsyncIterator[list[DecodeEvent]]:
    pending = b''
    async for chunk in response.chunks():
        pending += chunk
        *complete, pending = pending.split(_EVENT_END)
        if len(pending) > MAX_EVENT_BYTES:
            raise EngineError(0, 'event without an end')
        if complete:
            yield [_decode_event(event) for event in complete]


def _decode_event(event: bytes) -> DecodeEvent:
    try:
        return decode_document(_event_decoder, event.removeprefix(_DATA_PREFIX))
    except DocumentError as error:
        raise EngineError(0, f'malformed event: {error}') from error


__all__ = (
    'MAX_EVENT_BYTES',
    'EngineClient',
    'import_timeout_s',
    'upstream_address',
)
