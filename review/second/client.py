"""A client that notes what it gets, and whether that is whole."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from catkinreach_standins.platform.processes import FrontProcess

READ_BYTES = 65_536
HOST = 'app.example'


@dataclass
class Call:
    """A request and its answer.

    Attributes:
        request_id: Value of ``Request-Id``.
        sent_s: Monotonic time at which it was sent.
        status: Status of the answer; 0 for none.
        headers: Headers of the answer.
        body: Bytes of its body.
        is_whole: Whether the answer has ended as complete.
        ended_s: Monotonic time of its end.
    """

    request_id: str
    sent_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    ended_s: float = 0.0

    @property
    def event_count(self) -> int:
        """Returns the number of whole events in the body."""
        return self.body.count(b'\n\n')

    def text(self) -> str:
        """Returns a line for the record."""
        end = 'ends as complete' if self.is_whole else 'is broken off'
        return (
            f'client: {self.request_id} gets {self.status},'
            f' {len(self.body)} bytes, {self.event_count} events; {end}'
        )


async def send(
    front: FrontProcess,
    path: str,
    request_id: str,
    *,
    method: str = 'POST',
    deadline_ms: int = 14_000,
    key: str = 'key-one',
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> Call:
    """Sends a request on a connection of its own; returns the call."""
    call = Call(request_id, time.monotonic())
    try:
        reader, writer = await asyncio.open_connection(
            front.caller_address.host, front.caller_address.port
        )
    except OSError:
        call.ended_s = time.monotonic()
        return call
    protocol = h11.Connection(h11.CLIENT)
    pairs = {
        'Host': HOST,
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {key}',
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    head = h11.Request(method=method, target=path, headers=list(pairs.items()))
    data = protocol.send(head) or b''
    if body:
        data += protocol.send(h11.Data(data=body)) or b''
    data += protocol.send(h11.EndOfMessage()) or b''
    try:
        call.sent_s = time.monotonic()
        writer.write(data)
        await _read_answer(call, protocol, reader)
    except (OSError, h11.RemoteProtocolError):
        call.is_whole = False
    finally:
        writer.close()
        call.ended_s = time.monotonic()
    return call


async def _read_answer(
    call: Call, protocol: h11.Connection, reader: asyncio.StreamReader
) -> None:
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            call.status = event.status_code
            call.headers = {
                name.decode(): text.decode('latin-1')
                for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            call.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            call.is_whole = True
            return
        else:
            return
