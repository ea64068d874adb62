"""The soak notices that its own event loop was held up."""

from __future__ import annotations

import asyncio
import time

import pytest

from catkinreach_standins.platform.soak.history import History
from catkinreach_standins.platform.soak.loop_lag import record_lags

BUSY_S = 0.4


def test_busy_event_loop_is_recorded() -> None:
    history = History()

    async def run() -> None:
        recording = asyncio.ensure_future(record_lags(history))
        await asyncio.sleep(0)
        time.sleep(BUSY_S)  # noqa: ASYNC251 - blocks the loop
        await asyncio.sleep(0.01)
        recording.cancel()

    asyncio.run(run())
    ((_, lag_s),) = history.lags
    assert lag_s == pytest.approx(BUSY_S, abs=0.1)
