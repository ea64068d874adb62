"""One-shot HTTP client for calls between stand-ins and in tests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import h11
import msgspec

READ_SIZE_BYTES = 65536


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """Status, headers and whole body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body."""
        return msgspec.json.decode(self.body)


async def send_request(
    address: str,
    method: str,
    path: str,
    *,
    payload: object = None,
    headers: dict[str, str] | None = None,
) -> ClientResponse:
    """Send one request to ``IP:port`` and read the whole answer.

    Args:
        address: server as ``IP:port``.
        method: HTTP method.
        path: path and query.
        payload: raw bytes, or an object to send as JSON.
        headers: further request headers.

    Raises:
        OSError: the server can't be reached or closed without an answer.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        protocol = h11.Connection(h11.CLIENT)
        body = _encode(payload)
        head = h11.Request(
            method=method,
            target=path,
            headers=[
                ('host', address),
                ('connection', 'close'),
                ('content-length', str(len(body))),
                *(headers or {}).items(),
            ],
        )
        for event in (head, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(protocol.send(event) or b'')
        return await _read_answer(reader, protocol)
    finally:
        writer.close()


def _encode(payload: object) -> bytes:
    if payload is None:
        return b''
    if isinstance(payload, bytes):
        return payload
    return msgspec.json.encode(payload)


async def _read_answer(
    reader: asyncio.StreamReader,
    protocol: h11.Connection,
) -> ClientResponse:
    status = 0
    headers: dict[str, str] = {}
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            chunk = await reader.read(READ_SIZE_BYTES)
            if not chunk and not status:
                raise ConnectionResetError('closed without an answer')
            protocol.receive_data(chunk)
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode('latin-1'): text.decode('latin-1')
                for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return ClientResponse(status, headers, bytes(body))


__all__ = ('ClientResponse', 'send_request')
