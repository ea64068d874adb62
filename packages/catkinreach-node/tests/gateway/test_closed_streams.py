"""Gateway processes that start with closed standard streams."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.processes import prepared_front

if TYPE_CHECKING:
    from pathlib import Path

WITHIN_S = 12.0


def _close(*descriptors: int) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


# Without standard output it ended with a traceback.
@pytest.mark.parametrize('closed', [(0,), (1,), (2,), (1, 2), (0, 1, 2)])
def test_process_ends_when_a_standard_stream_is_closed(
    closed: tuple[int, ...], tmp_path: Path
) -> None:
    async def run() -> None:
        async with prepared_front(tmp_path) as front:
            await front.launch(preexec_fn=lambda: _close(*closed))
            await front.wait_ready_unharmed(within_s=WITHIN_S)
            front.send_signal(signal.SIGTERM)
            assert await front.wait_exit(within_s=WITHIN_S) == 0

    asyncio.run(run())
