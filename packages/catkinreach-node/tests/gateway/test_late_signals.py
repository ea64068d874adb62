"""Signals that a gateway process gets when it has drained."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.processes import prepared_front

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGHUP])
def test_late_signal_ends_a_process_that_has_drained(
    number: signal.Signals, tmp_path: Path
) -> None:
    # Its handler was gone before the interpreter had shut down.
    async def run() -> None:
        async with prepared_front(tmp_path) as front:
            await front.start()
            front.send_signal(signal.SIGTERM)
            while front.is_running:
                front.send_signal(number)
                await asyncio.sleep(0.001)
            assert front.exit_code == 0

    asyncio.run(run())
