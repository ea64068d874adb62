"""Blocking HTTP calls to the processes of a deployment."""

from __future__ import annotations

import http.client

from .ports import LOOPBACK


def http_call(
    port: int,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Calls a process on loopback; returns the status and the body."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


__all__ = ('http_call',)
