"""Timeouts and size limits of a server, and its requests in flight."""

from __future__ import annotations

from dataclasses import dataclass

from catkinreach_core.gateway.connection_crowds import MAX_CONNECTIONS


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerBounds:
    """Timeouts and size limits of one listening address.

    Attributes:
        head_timeout_s: Timeout for the first byte of the first request, and
            for the head of each request from its first byte on.
        body_timeout_s: Timeout for the body of a request.
        idle_timeout_s: Timeout for the first byte of each later request on
            a keep-alive connection.
        max_body_bytes: Largest request body.
        max_head_bytes: Largest request head.
        write_timeout_s: Timeout for the client to read sent data.
        max_connections: Largest number of open connections.
        max_head_fields: Largest number of fields of a request head.
    """

    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    max_body_bytes: int = 4 * 1024 * 1024
    max_head_bytes: int = 32 * 1024
    write_timeout_s: float = 30.0
    max_connections: int = MAX_CONNECTIONS
    max_head_fields: int = 256


class RequestCounter:
    """Counts the requests in flight, streamed responses included."""

    def __init__(self) -> None:
        """Starts with no request in flight."""
        self._running = 0

    @property
    def running(self) -> int:
        """Returns the number of requests in flight."""
        return self._running

    def begin(self) -> None:
        """Counts a request as in flight."""
        self._running += 1

    def end(self) -> None:
        """Counts a request as finished."""
        self._running -= 1


__all__ = ('RequestCounter', 'ServerBounds')
