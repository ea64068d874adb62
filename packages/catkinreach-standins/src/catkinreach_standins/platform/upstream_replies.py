"""Bytes that a stand-in of an upstream sends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .upstream_behaviour import encode_chunk

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .received_request import ReceivedRequest

CRLF = b'\r\n'


@dataclass(frozen=True, slots=True)
class StreamFraming:
    """How a stream is framed.

    Attributes:
        is_chunked: Whether it is sent in chunks; otherwise it ends with its
            connection.
    """

    is_chunked: bool

    def head(self, request: ReceivedRequest, upstream_id: str) -> bytes:
        """Returns the head of the stream."""
        lines = [
            'HTTP/1.1 200 OK',
            f'Request-Id: {request.request_id}',
            f'Response-Seal: seal-{upstream_id}',
            'Content-Type: text/event-stream',
        ]
        if self.is_chunked:
            lines.append('Transfer-Encoding: chunked')
        return _encode_head(lines)

    def encode(self, data: bytes) -> bytes:
        """Returns a part of the body as it is sent."""
        return encode_chunk(data) if self.is_chunked else data

    def end(self) -> bytes:
        """Returns what ends the body."""
        return encode_chunk(b'') if self.is_chunked else b''


def refusal(request_id: str = '') -> bytes:
    """Returns a refusal, without ``Request-Id`` if the id is empty."""
    lines = ['HTTP/1.1 503 full', 'Not-Executed: 1', 'Content-Length: 0']
    if request_id:
        lines.append(f'Request-Id: {request_id}')
    return _encode_head(lines)


def response(
    request: ReceivedRequest,
    status: int,
    upstream_id: str,
    body: bytes,
    *,
    is_sealed: bool = True,
) -> bytes:
    """Returns a whole response, with ``Response-Seal`` if it is sealed."""
    lines = [
        f'HTTP/1.1 {status} status',
        f'Request-Id: {request.request_id}',
        f'Instance-Id: {upstream_id}',
        'Instance-Load: 1,0,6',
        f'Content-Length: {len(body)}',
    ]
    if is_sealed:
        lines.append(f'Response-Seal: seal-{upstream_id}')
    return _encode_head(lines) + body


def response_without_request_id(upstream_id: str, body: bytes) -> bytes:
    """Returns a whole response that has no ``Request-Id`` header."""
    lines = (
        'HTTP/1.1 200 status',
        f'Response-Seal: seal-{upstream_id}',
        f'Content-Length: {len(body)}',
    )
    return _encode_head(lines) + body


def response_without_length(
    request: ReceivedRequest, upstream_id: str, body: bytes
) -> bytes:
    """Returns a response that has neither a length nor chunks."""
    lines = (
        'HTTP/1.1 200 OK',
        f'Request-Id: {request.request_id}',
        f'Response-Seal: seal-{upstream_id}',
    )
    return _encode_head(lines) + body


def partial_head(request: ReceivedRequest, upstream_id: str) -> bytes:
    """Returns whole lines of a head that has no end."""
    head = response_without_length(request, upstream_id, b'')
    return head.removesuffix(b'\r\n')


def add_lines(reply: bytes, lines: Iterable[str]) -> bytes:
    """Returns a reply, or its head, with more lines in the head."""
    status_line, rest = reply.split(CRLF, 1)
    return CRLF.join((status_line, *(line.encode() for line in lines), rest))


def _encode_head(lines: list[str] | tuple[str, ...]) -> bytes:
    return '\r\n'.join((*lines, '', '')).encode()


__all__ = (
    'StreamFraming',
    'add_lines',
    'partial_head',
    'refusal',
    'response',
    'response_without_length',
    'response_without_request_id',
)
