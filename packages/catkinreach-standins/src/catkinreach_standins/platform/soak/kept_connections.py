"""Checks that idle connections stay open as the newest limits say."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import h11

from catkinreach_node.http.connection import (
    ClientConnection,
    ConnectError,
    ExchangeError,
)
from catkinreach_node.http.messages import HttpRequest

from ..config import HOST, IDLE_TIMEOUT_MS, OTHER_API_KEY
from .history import REUSABLE_SHARE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..processes import FrontProcess
    from .config_faults import ConfigPublisher
    from .history import History

LONGER_IDLE_MS: Final = 3000
_MS_PER_S: Final = 1000
OLD_IDLE_S: Final = REUSABLE_SHARE * IDLE_TIMEOUT_MS / _MS_PER_S
NEW_IDLE_S: Final = REUSABLE_SHARE * LONGER_IDLE_MS / _MS_PER_S
"""Longer than the old limit, which no longer binds by then: a front has 2 s to
apply a new version."""


async def check_kept_connections(
    fronts: Iterable[FrontProcess], publisher: ConfigPublisher, history: History
) -> None:
    """Raises the idle limit beside an open connection to each front."""
    checks = [
        asyncio.ensure_future(_find_closed(front, history)) for front in fronts
    ]
    publisher.publish(idle_timeout_ms=LONGER_IDLE_MS)
    await asyncio.gather(*checks)


async def _find_closed(front: FrontProcess, history: History) -> None:
    name = f'front {front.number}'
    try:
        connection = await ClientConnection.open(front.caller_address)
    except ConnectError:
        history.violations.append(f'{name} refuses connections at the end')
        return
    try:
        for idle_s in (0.0, OLD_IDLE_S, NEW_IDLE_S):
            await asyncio.sleep(idle_s)
            if not await _call(connection, f'kept-{front.number}-{idle_s}'):
                history.violations.append(
                    f'{name} closed a connection within {idle_s:.1f} s'
                )
                return
    finally:
        connection.close()


async def _call(connection: ClientConnection, request_id: str) -> bool:
    """Returns whether a call on a connection that was idle gets a response."""
    if not connection.is_reusable:
        return False
    headers = [
        ('request-id', request_id),
        ('authorization', f'Bearer {OTHER_API_KEY}'),
    ]
    try:
        await connection.send(HttpRequest('GET', '/read/', headers), HOST)
        await connection.next_event()
        is_complete = False
        while not is_complete:
            _, is_complete = await connection.next_data()
    except (OSError, ExchangeError, h11.ProtocolError):
        return False
    connection.finish()
    return True


__all__ = ('check_kept_connections',)
