"""Headers of requests and replies, and control requests to engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from msgspec import Struct

from catkinreach_core.gateway.metadata import (
    KvHandle,
    ReplyMetadata,
    RequestMetadata,
)
from catkinreach_core.ids import RequestId, UpstreamId

from ..http.messages import JSON_TYPE, Headers, HttpRequest
from .boot import MS_PER_S

if TYPE_CHECKING:
    from catkinreach_core.gateway.metadata import ForwardMetadata
    from catkinreach_core.gateway.upstream import Stage, Upstream
    from catkinreach_core.settings.node import Address

REQUEST_ID: Final = 'request-id'
DEADLINE: Final = 'deadline-ms'
RESUME: Final = 'last-event-id'
SEAL: Final = 'response-seal'
MISDIRECTED: Final = 421
MAX_PRIORITY: Final = 9

PER_CONNECTION: Final = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
SET_BY_NODE: Final = frozenset(
    {
        'authorization',
        DEADLINE,
        'expect-instance',
        'expect-version',
        'kv-backup',
        'kv-fetch',
        'kv-hold',
        'kv-source',
        'pin-ms',
        'request-priority',
        'serving-stage',
        'tenant',
    }
)
KEPT_FROM_CALLER: Final = frozenset({'instance-load', 'not-executed'})


class _Prefill(Struct):
    handle: str


_PREFILL_DECODER = msgspec.json.Decoder(_Prefill)


class PlatformDialect:
    """Encodes and decodes the platform's headers and control requests."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Returns the terms of a caller's request."""
        prompt, output = _token_counts(request.header('token-count'))
        scheme, _, key = (request.header('authorization') or '').partition(' ')
        deadline_ms = _number(request.header(DEADLINE))
        return RequestMetadata(
            request_id=RequestId(request.header(REQUEST_ID) or ''),
            host=request.header('host') or '',
            key=key.strip() if scheme.lower() == 'bearer' else None,
            deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
            prompt_tokens=prompt,
            output_tokens=output,
            resume_after=_whole(request.header(RESUME)),
        )

    def upstream_request(
        self, request: HttpRequest, send: ForwardMetadata
    ) -> HttpRequest:
        """Returns the request to forward to an upstream."""
        headers = _forwarded(request)
        if send.resume_after is not None:
            headers = [pair for pair in headers if pair[0] != RESUME]
            headers.append((RESUME, str(send.resume_after)))
        if send.source is not None:
            source = f'{send.source.engine}/{send.source.name}'
            headers.append(('kv-source', source))
        return _addressed(request, headers, send)

    def prefill_request(
        self, request: HttpRequest, send: ForwardMetadata
    ) -> HttpRequest:
        """Returns the request that only prefills the prompt."""
        headers = [*_forwarded(request), ('serving-stage', 'prefill')]
        return _addressed(request, headers, send)

    def read_reply(self, status: int, headers: Headers) -> ReplyMetadata:
        """Returns what the status and headers of a reply state."""
        known = dict(headers)
        request_id = known.get(REQUEST_ID)
        instance = known.get('instance-id')
        return ReplyMetadata(
            request_id=None if request_id is None else RequestId(request_id),
            is_sealed=SEAL in known,
            has_not_run='not-executed' in known or status == MISDIRECTED,
            is_misdirected=status == MISDIRECTED,
            answered_by=None if instance is None else UpstreamId(instance),
            idle_timeout_s=_idle_timeout_s(known.get('keep-alive')),
        )

    def read_handle(self, engine: Address, body: bytes) -> KvHandle | None:
        """Returns the KV handle in a prefill reply, ``None`` without one."""
        try:
            return KvHandle(
                engine=engine, name=_PREFILL_DECODER.decode(body).handle
            )
        except msgspec.DecodeError:
            return None

    def release_request(self, handle: KvHandle) -> HttpRequest:
        """Returns the request that frees KV cache which won't be imported."""
        return HttpRequest('DELETE', f'/kv-handle/{handle.name}')

    def stage_order(
        self, upstream: Upstream, stage: Stage, holder: str, fence: int
    ) -> HttpRequest:
        """Returns the request that orders an engine to change its stage."""
        order = {
            'operation': 'stage',
            'stage': stage.value,
            'holder': holder,
            'fence': fence,
        }
        headers = [
            ('content-type', JSON_TYPE),
            ('expect-instance', upstream.upstream_id),
        ]
        body = msgspec.json.encode(order)
        return HttpRequest('POST', '/order', headers, body)

    def caller_headers(self, headers: Headers) -> Headers:
        """Returns the headers of a reply that are passed to the caller."""
        dropped = _named_by_connection(headers) | PER_CONNECTION
        dropped |= KEPT_FROM_CALLER
        return [pair for pair in headers if pair[0] not in dropped]


def _addressed(
    request: HttpRequest, headers: Headers, send: ForwardMetadata
) -> HttpRequest:
    headers += [
        (DEADLINE, str(max(1, int(send.deadline_s * MS_PER_S)))),
        ('expect-instance', send.upstream_id),
        ('request-priority', str(min(MAX_PRIORITY, max(0, send.priority)))),
    ]
    if send.workspace_id is not None:
        headers.append(('tenant', send.workspace_id))
    return HttpRequest(request.method, request.target, headers, request.body)


def _forwarded(request: HttpRequest) -> Headers:
    dropped = _named_by_connection(request.headers)
    dropped |= PER_CONNECTION | SET_BY_NODE
    dropped -= {REQUEST_ID}
    return [pair for pair in request.headers if pair[0] not in dropped]


def _named_by_connection(headers: Headers) -> set[str]:
    return {
        token.strip().lower()
        for name, text in headers
        if name == 'connection'
        for token in text.split(',')
    }


def _token_counts(text: str | None) -> tuple[int | None, int]:
    prompt, _, output = (text or '').partition(',')
    return _whole(prompt), _whole(output) or 0


def _idle_timeout_s(text: str | None) -> float | None:
    for part in (text or '').split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout':
            return _number(number)
    return None


def _number(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _whole(text: str | None) -> int | None:
    stripped = (text or '').strip()
    return int(stripped) if stripped.isdecimal() else None


__all__ = ('PlatformDialect',)
