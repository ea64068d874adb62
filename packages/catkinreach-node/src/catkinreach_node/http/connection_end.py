"""How connections end that owe their clients a response."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

import h11

if TYPE_CHECKING:
    from collections.abc import Callable

    from .messages import HttpRequest


class ConnectionEnd(Enum):
    """Why a connection ended without a whole response."""

    CLIENT_CLOSED = 'client-closed'
    """The client closed it, or its direction of it, before the response."""

    CLIENT_RESET = 'client-reset'
    """The client reset it, or couldn't be reached any more."""

    CLIENT_STALLED = 'client-stalled'
    """The client didn't read the response in time."""

    GAVE_WAY = 'gave-way'
    """It made room for another client's, as its client didn't read."""

    BROKEN_OFF = 'broken-off'
    """The body of the response couldn't be completed."""

    UNSENDABLE = 'unsendable'
    """The response violates HTTP."""

    FAILED = 'failed'
    """An unexpected error came after the response had begun."""

    STOPPED = 'stopped'
    """The server closed it at the end of its stop."""

    UNSERVED = 'unserved'
    """Bytes of another request had arrived behind the last response."""

    NO_REQUEST = 'no-request'
    """No byte of a first request came in time; it may be on its way."""


class ClientStalledError(ConnectionAbortedError):
    """The client didn't read the response in time."""


class BrokenBodyError(ConnectionAbortedError):
    """The body of the response couldn't be completed."""


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request whose connection ended without a whole response.

    Attributes:
        end: Why the connection ended.
        request: The request; ``None`` if it wasn't read.
        waited_s: Seconds since it was read, or since the connection waited for
            it.
        has_begun: Whether a part of the response was sent.
    """

    end: ConnectionEnd
    request: HttpRequest | None
    waited_s: float
    has_begun: bool


UnansweredObserver: TypeAlias = 'Callable[[UnansweredRequest], None]'


def ignore_unanswered(unanswered: UnansweredRequest) -> None:
    """Does nothing."""
    del unanswered


def end_of_error(error: BaseException) -> ConnectionEnd:
    """Returns the end that an error of a connection in use stands for."""
    if isinstance(error, ClientStalledError):
        return ConnectionEnd.CLIENT_STALLED
    if isinstance(error, BrokenBodyError):
        return ConnectionEnd.BROKEN_OFF
    if isinstance(error, OSError):
        return ConnectionEnd.CLIENT_RESET
    if isinstance(error, h11.LocalProtocolError):
        return ConnectionEnd.UNSENDABLE
    return ConnectionEnd.FAILED


__all__ = (
    'BrokenBodyError',
    'ClientStalledError',
    'ConnectionEnd',
    'UnansweredObserver',
    'UnansweredRequest',
    'end_of_error',
    'ignore_unanswered',
)
