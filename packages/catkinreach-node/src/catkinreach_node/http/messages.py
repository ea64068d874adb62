"""HTTP requests and responses, independent of h11."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol, TypeAlias

import msgspec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from .body_memory import BodyHold

Headers: TypeAlias = list[tuple[str, str]]

RawHeaders: TypeAlias = list[tuple[bytes, bytes]]

JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
EVENT_STREAM_TYPE = 'text/event-stream'
STATUSES_WITHOUT_BODY = frozenset({204, 304})

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that concern one connection; ``Connection`` may name more."""


class BodyStream(Protocol):
    """Body of a streamed response, produced while it is sent."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the iterator over the body's chunks."""

    async def aclose(self) -> None:
        """Ends the body, also before its first chunk was requested."""


def encode_headers(headers: Headers) -> RawHeaders:
    """Returns headers as sent; a received byte above 127 stays the same."""
    return [
        (name.encode('latin-1'), content.encode('latin-1'))
        for name, content in headers
    ]


def end_to_end_headers(headers: Headers, *, kept: str = '') -> Headers:
    """Returns the headers that a proxy passes on.

    Args:
        headers: Headers of a message, with names in lower case.
        kept: Name of a header that is passed on whatever the others say.
    """
    dropped = HOP_BY_HOP_HEADERS | {
        token.strip().lower()
        for name, text in headers
        if name == 'connection'
        for token in text.split(',')
    }
    return [
        pair for pair in headers if pair[0] not in dropped or pair[0] == kept
    ]


@dataclass(slots=True)
class RequestLabel:
    """Id under which the process logs a request; empty until it has one."""

    request_id: str = ''


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its whole body.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Names in lower case, in order of arrival.
        body: The whole body.
        hold: Memory held for the body, if it is bounded.
        client_host: Address of the client that sent it; empty for a request
            of this process.
        label: Id of the request in the log, set by its handler.
    """

    method: str
    target: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    hold: BodyHold | None = field(default=None, compare=False)
    client_host: str = field(default='', compare=False)
    label: RequestLabel = field(default_factory=RequestLabel, compare=False)

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str | None:
        """Returns the first header of a lower-case name, if present."""
        return next(
            (
                value
                for header_name, value in self.headers
                if header_name == name
            ),
            None,
        )


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response; a streamed one has ``stream`` in place of ``body``."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    stream: BodyStream | None = None

    @classmethod
    def from_json(
        cls,
        status: int,
        document: object,
        *,
        content_type: str = JSON_TYPE,
        headers: Headers | None = None,
    ) -> HttpResponse:
        """Returns a response whose body is a JSON document."""
        return cls(
            status=status,
            headers=[('content-type', content_type), *(headers or [])],
            body=msgspec.json.encode(document),
        )


__all__ = (
    'EVENT_STREAM_TYPE',
    'HOP_BY_HOP_HEADERS',
    'JSON_TYPE',
    'PROBLEM_TYPE',
    'STATUSES_WITHOUT_BODY',
    'BodyStream',
    'Headers',
    'HttpRequest',
    'HttpResponse',
    'RawHeaders',
    'RequestLabel',
    'encode_headers',
    'end_to_end_headers',
)
