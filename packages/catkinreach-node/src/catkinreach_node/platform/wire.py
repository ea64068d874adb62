"""Headers of requests and replies, and control requests to engines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec
from msgspec import Struct

from catkinreach_core.documents import DocumentError, decode_document
from catkinreach_core.gateway.metadata import (
    KvHandle,
    ReplyMetadata,
    RequestMetadata,
)
from catkinreach_core.gateway.upstream import Stage
from catkinreach_core.gateway.upstream_limits import MAX_LIMIT_PER_S
from catkinreach_core.ids import RequestId, UpstreamId
from catkinreach_core.ranges import Count, UnixMilliseconds

from ..http.messages import (
    JSON_TYPE,
    Headers,
    HttpRequest,
    end_to_end_headers,
)
from .boot import MS_PER_S
from .header_numbers import HeaderNumbers
from .sendable_text import is_target_part

if TYPE_CHECKING:
    from catkinreach_core.gateway.metadata import ForwardMetadata
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.settings.node import Address

REQUEST_ID_HEADER: Final = 'request-id'
DEADLINE_HEADER: Final = 'deadline-ms'
REPORT_PATH: Final = '/report'
RESUME_AFTER_HEADER: Final = 'last-event-id'
RESUMES_HEADER: Final = 'resumes'
TOKENS_HEADER: Final = 'token-count'
LEAVING_HEADER: Final = 'server-leaving'
LEAVING: Final = '1'
PAUSE_HEADER: Final = 'retry-after'
LIMIT_HEADER: Final = 'server-limit'
STATUS_UNAVAILABLE: Final = 503
KEEP_ALIVE_HEADER: Final = 'keep-alive'
SEAL_HEADER: Final = 'response-seal'
STATUS_MISDIRECTED: Final = 421
MAX_PRIORITY: Final = 9
MAX_IDLE_S: Final = 86_400.0

SET_BY_NODE: Final = frozenset(
    {
        'authorization',
        DEADLINE_HEADER,
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
"""Headers that a caller can't set at an upstream; the node drops them and adds
its own."""

HIDDEN_FROM_CALLER: Final = frozenset(
    {'instance-load', 'not-executed', LEAVING_HEADER, LIMIT_HEADER}
)


class _Prefill(Struct):
    handle: str


class _HeldPrompts(Struct):
    held: list[tuple[str, str, Count, str]]


class _Report(Struct):
    born: UnixMilliseconds


_PREFILL_DECODER = msgspec.json.Decoder(_Prefill)
_HELD_DECODER = msgspec.json.Decoder(_HeldPrompts)
_REPORT_DECODER = msgspec.json.Decoder(_Report)


class PlatformDialect:
    """Encodes and decodes the platform's headers and control requests."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Returns the metadata of a caller's request."""
        numbers = HeaderNumbers()
        prompt, _, output = (request.header(TOKENS_HEADER) or '').partition(',')
        scheme, _, key = (request.header('authorization') or '').partition(' ')
        *parts, own_part = _parse_parts(request.header('prompt-prefix'))
        deadline_ms = numbers.milliseconds(
            DEADLINE_HEADER, request.header(DEADLINE_HEADER)
        )
        return RequestMetadata(
            request_id=RequestId(request.header(REQUEST_ID_HEADER) or ''),
            host=request.header('host') or '',
            key=key.strip() if scheme.lower() == 'bearer' else None,
            deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
            prompt_tokens=numbers.count(TOKENS_HEADER, prompt),
            output_tokens=numbers.count(TOKENS_HEADER, output) or 0,
            resume_after=numbers.count(
                RESUME_AFTER_HEADER, request.header(RESUME_AFTER_HEADER)
            ),
            resumes=RequestId(request.header(RESUMES_HEADER) or ''),
            shared_parts=tuple(filter(None, parts)),
            own_part=own_part,
            out_of_range=numbers.out_of_range,
        )

    def upstream_request(
        self, request: HttpRequest, metadata: ForwardMetadata
    ) -> HttpRequest:
        """Returns the request to forward to an upstream."""
        headers = _forwarded_headers(request)
        if metadata.resume_after is not None:
            headers = [
                pair for pair in headers if pair[0] != RESUME_AFTER_HEADER
            ]
            headers.append((RESUME_AFTER_HEADER, str(metadata.resume_after)))
        if metadata.source is not None:
            source = f'{metadata.source.engine}/{metadata.source.name}'
            headers.append(('kv-source', source))
        return _with_forward_headers(request, headers, metadata)

    def prefill_request(
        self, request: HttpRequest, metadata: ForwardMetadata
    ) -> HttpRequest:
        """Returns the request that only prefills the prompt."""
        headers = [*_forwarded_headers(request), ('serving-stage', 'prefill')]
        return _with_forward_headers(request, headers, metadata)

    def read_reply(self, status: int, headers: Headers) -> ReplyMetadata:
        """Returns the metadata of a reply, from its status and headers."""
        by_name = dict(headers)
        request_id = by_name.get(REQUEST_ID_HEADER)
        instance = by_name.get('instance-id')
        return ReplyMetadata(
            request_id=None if request_id is None else RequestId(request_id),
            is_sealed=SEAL_HEADER in by_name,
            has_not_run='not-executed' in by_name
            or status == STATUS_MISDIRECTED,
            is_misdirected=status == STATUS_MISDIRECTED,
            answered_by=None if instance is None else UpstreamId(instance),
            idle_timeout_s=_parse_idle_timeout_s(
                by_name.get(KEEP_ALIVE_HEADER)
            ),
            is_leaving=by_name.get(LEAVING_HEADER) == LEAVING,
            pause_s=_parse_pause_s(status, by_name.get(PAUSE_HEADER)),
            limit_per_s=HeaderNumbers().number(
                LIMIT_HEADER, by_name.get(LIMIT_HEADER), MAX_LIMIT_PER_S
            ),
        )

    def read_handle(self, engine: Address, body: bytes) -> KvHandle | None:
        """Returns the KV handle in a prefill reply.

        ``None`` without one, or if it can't be sent in a head.
        """
        try:
            prefill = decode_document(_PREFILL_DECODER, body)
        except DocumentError:
            return None
        if not is_target_part(prefill.handle):
            return None
        return KvHandle(engine=engine, name=prefill.handle)

    def release_request(self, handle: KvHandle) -> HttpRequest:
        """Returns the request that frees KV cache which won't be imported."""
        return HttpRequest('DELETE', f'/kv-handle/{handle.name}')

    def health_request(self, path: str) -> HttpRequest:
        """Returns the request of a health check; the reply names its sender."""
        return HttpRequest('GET', path)

    def alive_request(self, upstream: Upstream, path: str) -> HttpRequest:
        """Returns a request that any running upstream answers."""
        is_engine = upstream.stage is not Stage.WHOLE
        return HttpRequest('GET', REPORT_PATH if is_engine else path)

    def read_started_ms(self, body: bytes) -> int | None:
        """Returns the start that the reply to such a request names."""
        try:
            return decode_document(_REPORT_DECODER, body).born
        except DocumentError:
            return None

    def held_prompts_request(self, upstream: Upstream) -> HttpRequest:
        """Returns the request that lists the parts of prompts it holds."""
        headers: Headers = [('expect-instance', upstream.upstream_id)]
        return HttpRequest('GET', '/kv-list', headers)

    def read_held_prompts(self, body: bytes) -> tuple[str, ...]:
        """Returns the ids of the parts in the reply to such a request.

        Raises:
            DocumentError: if it is malformed.
        """
        listing = decode_document(_HELD_DECODER, body)
        return tuple(part_id.lower() for _, part_id, *_ in listing.held)

    def stage_order(
        self, upstream: Upstream, stage: Stage, leader: str, fencing_number: int
    ) -> HttpRequest:
        """Returns the request that orders an engine to change its stage."""
        order = {
            'operation': 'stage',
            'stage': stage.value,
            'holder': leader,
            'fence': fencing_number,
        }
        headers = [
            ('content-type', JSON_TYPE),
            ('expect-instance', upstream.upstream_id),
        ]
        body = msgspec.json.encode(order)
        return HttpRequest('POST', '/order', headers, body)

    def caller_headers(self, headers: Headers) -> Headers:
        """Returns the headers of a reply that are passed to the caller."""
        return [
            pair
            for pair in end_to_end_headers(headers)
            if pair[0] not in HIDDEN_FROM_CALLER
        ]


def _with_forward_headers(
    request: HttpRequest, headers: Headers, metadata: ForwardMetadata
) -> HttpRequest:
    headers += [
        (DEADLINE_HEADER, str(max(1, int(metadata.deadline_s * MS_PER_S)))),
        ('expect-instance', metadata.upstream_id),
        ('request-priority', str(min(MAX_PRIORITY, max(0, metadata.priority)))),
    ]
    if metadata.workspace_id is not None:
        headers.append(('tenant', metadata.workspace_id))
    return HttpRequest(request.method, request.target, headers, request.body)


def _forwarded_headers(request: HttpRequest) -> Headers:
    headers = end_to_end_headers(request.headers, kept=REQUEST_ID_HEADER)
    return [pair for pair in headers if pair[0] not in SET_BY_NODE]


def _parse_parts(text: str | None) -> tuple[str, ...]:
    """Returns the ids of a prompt's parts, from ``ID:TOKENS`` pairs."""
    return tuple(
        pair.partition(':')[0].strip().lower()
        for pair in (text or '').split(',')
    )


def _parse_idle_timeout_s(text: str | None) -> float | None:
    for part in (text or '').split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout':
            return HeaderNumbers().number(KEEP_ALIVE_HEADER, number, MAX_IDLE_S)
    return None


def _parse_pause_s(status: int, text: str | None) -> float | None:
    """Returns the pause that a refusal asks for; dates aren't understood."""
    if status != STATUS_UNAVAILABLE:
        return None
    return HeaderNumbers().number(PAUSE_HEADER, text, math.inf)


__all__ = ('PlatformDialect',)
