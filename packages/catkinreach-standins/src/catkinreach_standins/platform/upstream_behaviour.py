"""How a stand-in of an upstream handles a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .received_request import ReceivedRequest

EVENTS_BEFORE_DISCONNECT = 3
"""Whole events that ``Behaviour.DISCONNECT`` sends before a partial one."""

EVENTS_BEFORE_PAUSE = 3
"""Events that ``Behaviour.PAUSE`` sends before the pause."""

SILENCE_S = 1.0
"""Time for which the silent behaviours send nothing."""

OK_LINE = b'HTTP/1.1 200 OK\r\n'


class Behaviour(Enum):
    """How the upstream handles its next request."""

    SERVE = 'serve'
    FAIL = 'fail'
    """Plain requests run and are answered with 500."""

    REFUSE = 'refuse'
    """The request is answered with 503 and doesn't run."""

    DISCONNECT = 'break'
    """The connection is aborted; a stream is aborted within an event."""

    HANG = 'hang'
    """No response comes before the gateway closes the connection."""

    PAUSE = 'pause'
    """The response, or a stream after some events, comes after a pause."""

    PAUSE_FIRST = 'pause-first'
    """A stream's first event comes after a pause."""

    NO_SEAL = 'unsealed'
    """A plain response has no ``Response-Seal`` header."""

    EXTRA_RESPONSE = 'extra'
    """A response with another request id precedes the plain response."""

    NO_REQUEST_ID = 'unnamed'
    """A response without ``Request-Id`` precedes the plain response."""

    ENDLESS_HEAD = 'endless-head'
    """The head of the response doesn't end."""

    ENDLESS_INTERIM = 'endless-interim'
    """Interim responses come without end."""

    ENDLESS_BODY = 'endless-body'
    """The body doesn't end, nor does an event in it."""

    SILENT_START = 'silent-start'
    """Nothing is sent for a time before the response, which is whole."""

    SILENT_MIDWAY = 'silent-midway'
    """Nothing is sent for a time within the response, which is whole."""

    CLOSED_END = 'closed-end'
    """A whole response has no length and ends with its connection."""

    RESET_BODY = 'reset-body'
    """A response without length is reset within the body."""

    CUT_HEAD = 'cut-head'
    """The connection ends within the head of the response."""

    REPEAT_REFUSAL = 'repeat-refusal'
    """A refusal comes again before the connection's next response."""

    REPEAT_UNNAMED = 'repeat-unnamed'
    """As ``REPEAT_REFUSAL``; the second one has no ``Request-Id``."""

    FAIL_RESUMED = 'fail-resumed'
    """A stream breaks off; the next resumed one is answered with 500."""


REFUSING_BEHAVIOURS = frozenset(
    {
        Behaviour.REFUSE,
        Behaviour.REPEAT_REFUSAL,
        Behaviour.REPEAT_UNNAMED,
    }
)
"""Behaviours by which the request doesn't run."""

HEALTHY_BEHAVIOURS = frozenset(
    {
        Behaviour.SERVE,
        Behaviour.SILENT_START,
        Behaviour.SILENT_MIDWAY,
        Behaviour.CLOSED_END,
    }
)
"""Behaviours by which the request is run and answered in full."""


@dataclass(frozen=True, slots=True)
class EndlessReply:
    """Bytes that begin a reply, and those that are repeated without end."""

    start: bytes
    part: bytes


def endless_reply(
    behaviour: Behaviour, request: ReceivedRequest, upstream_id: str
) -> EndlessReply | None:
    """Returns the reply of an endless behaviour; ``None`` for others."""
    match behaviour:
        case Behaviour.ENDLESS_HEAD:
            return EndlessReply(OK_LINE, b'X-Fill: ' + b'x' * 1000 + b'\r\n')
        case Behaviour.ENDLESS_INTERIM:
            return EndlessReply(b'', b'HTTP/1.1 103 Early Hints\r\n\r\n')
        case Behaviour.ENDLESS_BODY:
            return EndlessReply(
                OK_LINE + _body_headers(request, upstream_id),
                encode_chunk(b'x' * 8192),
            )
    return None


@dataclass(frozen=True, slots=True)
class RawReply:
    """Bytes that are sent as the reply of a request that runs.

    Attributes:
        data: Bytes of the reply; ``{id}`` is replaced by the request id.
        delay_s: Time before they are sent.
        stays_open: Whether the connection stays open after them.
        is_reset: Whether the connection is reset after them.
    """

    data: bytes
    delay_s: float = 0.0
    stays_open: bool = False
    is_reset: bool = False


def encode_chunk(data: bytes) -> bytes:
    """Returns data as a chunk; no data as the last one."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def _body_headers(request: ReceivedRequest, upstream_id: str) -> bytes:
    return (
        f'Request-Id: {request.request_id}\r\n'
        f'Response-Seal: seal-{upstream_id}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


__all__ = (
    'EVENTS_BEFORE_DISCONNECT',
    'EVENTS_BEFORE_PAUSE',
    'HEALTHY_BEHAVIOURS',
    'REFUSING_BEHAVIOURS',
    'SILENCE_S',
    'Behaviour',
    'EndlessReply',
    'RawReply',
    'encode_chunk',
    'endless_reply',
)
