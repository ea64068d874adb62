"""Callers that take up a stream which broke off."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from catkinreach_node.http.client import HttpClient

from ..upstream import EVENT_COUNT
from .history import CallEnd, CallKind

if TYPE_CHECKING:
    from .callers import Callers
    from .history import CallRecord

MAX_RESUMPTIONS: Final = 5
MAX_PAUSE_S: Final = 0.8
"""Longest pause before a resumption; a front may restart in it."""

MIN_LEFT_S: Final = 0.2
"""Shortest time left until the deadline for a resumption."""

FINAL_ENDS: Final = frozenset(
    {CallEnd.ANSWERED, CallEnd.CANCELLED, CallEnd.TIMED_OUT}
)
"""Ends after which a caller doesn't resume its stream."""


async def resume_stream(callers: Callers, call: CallRecord) -> None:
    """Takes up a call's stream at any front, as often as it breaks off.

    Each resumption has a new connection: those that the caller keeps may have
    been idle for too long.
    """
    for _ in range(MAX_RESUMPTIONS):
        if not _may_resume(call):
            return
        await asyncio.sleep(callers.rng.uniform(0, MAX_PAUSE_S))
        if call.due_s - time.monotonic() < MIN_LEFT_S:
            return
        client = HttpClient()
        call = await callers.call(
            client,
            call.kind,
            callers.rng.randrange(len(callers.fronts)),
            resumed=call,
            may_cancel=False,
        )
        client.close()


def _may_resume(call: CallRecord) -> bool:
    """Returns whether the stream began, and broke off before its last event."""
    return (
        call.kind is CallKind.STREAM
        and call.end not in FINAL_ENDS
        and 0 < call.last_event_id < EVENT_COUNT
    )


__all__ = ('resume_stream',)
