"""HTTP client with one connection per request, for stand-ins and tests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import h11
import msgspec

READ_SIZE_BYTES = 65536


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """HTTP response, received in full.

    Attributes:
        status: HTTP status code.
        headers: Header values by name in lower case.
        body: Whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body decoded from JSON."""
        return msgspec.json.decode(self.body)


async def send_request(
    address: str,
    method: str,
    path: str,
    *,
    payload: object = None,
    headers: dict[str, str] | None = None,
) -> ClientResponse:
    """Sends a request and returns the whole response.

    Args:
        address: Server as ``IP:port``.
        method: HTTP method.
        path: Path and query.
        payload: Raw bytes, or an object to send as JSON.
        headers: Further request headers.

    Raises:
        OSError: The server can't be reached, or it closed the connection
            without a response.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        protocol = h11.Connection(h11.CLIENT)
        body = _encode_body(payload)
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
        return await _read_response(reader, protocol)
    finally:
        writer.close()


def _encode_body(payload: object) -> bytes:
    if payload is None:
        return b''
    if isinstance(payload, bytes):
        return payload
    return msgspec.json.encode(payload)


async def _read_response(
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
                raise ConnectionResetError('closed without a response')
            protocol.receive_data(chunk)
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode('latin-1'): header.decode('latin-1')
                for name, header in event.headers
            }
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return ClientResponse(status, headers, bytes(body))


__all__ = ('ClientResponse', 'send_request')
