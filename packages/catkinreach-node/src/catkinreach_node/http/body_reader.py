"""Reads the body of a request within the server's bounds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from catkinreach_core.errors import CatkinreachError, ErrorKind

from .body_memory import SMALL_BODY_BYTES, STEP_BYTES
from .head_checks import content_length

if TYPE_CHECKING:
    from .body_memory import BodyHold
    from .request_events import RequestEvents
    from .server_bounds import ServerBounds


async def read_body(
    events: RequestEvents,
    head: h11.Request,
    hold: BodyHold,
    bounds: ServerBounds,
) -> bytes:
    """Reads a body once there is memory for it.

    Args:
        events: Events of the request after its head.
        head: Head of the request.
        hold: Memory for the body.
        bounds: Bounds of the server.

    Raises:
        CatkinreachError: if it is too large, too slow or malformed, or the
            memory stays full.
    """
    announced = content_length(head)
    await _reserve(hold, announced, bounds)
    deadline_s = asyncio.get_running_loop().time() + bounds.body_timeout_s
    parts: list[bytes] = []
    size = 0
    covered = max(announced, SMALL_BODY_BYTES)
    while True:
        event = await events.next_event(deadline_s, hold)
        if isinstance(event, h11.EndOfMessage):
            return b''.join(parts)
        if not isinstance(event, h11.Data):
            raise CatkinreachError(ErrorKind.BAD_REQUEST)
        size += len(event.data)
        if size > covered:
            covered = size + STEP_BYTES
            await _reserve(hold, size, bounds, ahead=covered)
        parts.append(bytes(event.data))


async def _reserve(
    hold: BodyHold, size: int, bounds: ServerBounds, *, ahead: int = 0
) -> None:
    """Reserves memory for a body.

    Args:
        hold: Memory held so far.
        size: Bytes of the body that have arrived, or that it will have.
        bounds: Bounds of the server.
        ahead: Bytes to reserve if more will come.

    Raises:
        CatkinreachError: if the body is too large, or the memory full.
    """
    if size > bounds.max_body_bytes:
        raise CatkinreachError(ErrorKind.TOO_LARGE)
    if not await hold.cover(max(size, ahead)):
        raise CatkinreachError(ErrorKind.MEMORY_FULL)


__all__ = ('read_body',)
