"""A request at a stand-in of an upstream, and the connection that it is on."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .received_request import READ_SIZE_BYTES
from .upstream_replies import add_lines, response

if TYPE_CHECKING:
    from .received_request import ReceivedRequest
    from .upstream import UpstreamStandin

_LINGER_ZERO = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which closing a socket sends a TCP reset."""


@dataclass(frozen=True, slots=True)
class UpstreamExchange:
    """A request that an upstream runs, and its connection.

    Attributes:
        upstream: Stand-in that runs the request, and records what happens.
        request: The whole request.
        reader: Input of the connection.
        writer: Output of the connection.
        instance_id: Id that the upstream had when the request arrived.
        version: Software version that it had then, if events name it.
    """

    upstream: UpstreamStandin
    request: ReceivedRequest
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    instance_id: str
    version: str = ''

    def add_headers(self, reply: bytes) -> bytes:
        """Returns a reply with what the upstream says of itself."""
        availability = self.upstream.availability
        lines = availability.answer_headers(self.request.request_id)
        return add_lines(reply, lines)

    def respond(
        self, status: int, body: bytes, *, is_sealed: bool = True
    ) -> None:
        """Sends a whole response."""
        reply = response(
            self.request, status, self.instance_id, body, is_sealed=is_sealed
        )
        self.writer.write(self.add_headers(reply))

    async def wait_closed(self) -> None:
        """Waits until the gateway closes the connection."""
        await self.reader.read(READ_SIZE_BYTES)
        self.record_abandoned()

    async def pause(self) -> None:
        """Waits for the pause to end or the gateway to close."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.upstream.pause_s):
                await self.reader.read(READ_SIZE_BYTES)
            self.record_abandoned()

    def record_abandoned(self) -> None:
        """Records that the gateway closed the connection."""
        self.upstream.abandoned_ids.append(self.request.request_id)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    with suppress(OSError, AttributeError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
        )
    writer.transport.abort()


__all__ = ('UpstreamExchange', 'reset')
