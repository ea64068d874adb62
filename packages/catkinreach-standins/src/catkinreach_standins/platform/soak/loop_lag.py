"""Measures when the soak's own event loop was held up."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .history import History

POLL_S: Final = 0.05
MIN_LAG_S: Final = 0.1
"""Shortest lag that is recorded."""


async def record_lags(history: History) -> None:
    """Records each time at which the event loop was late, until cancelled."""
    while True:
        started_s = time.monotonic()
        await asyncio.sleep(POLL_S)
        ended_s = time.monotonic()
        lag_s = ended_s - started_s - POLL_S
        if lag_s >= MIN_LAG_S:
            history.lags.append((ended_s - lag_s, lag_s))


__all__ = ('record_lags',)
