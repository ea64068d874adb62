"""Settings files that aren't whole when a gateway process starts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.processes import prepared_front

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

WITHIN_S = 12.0
PARTIAL_S = 2.0
STORE_FIELD = 'platform.address='


def _without_last_digit(text: str) -> str:
    """Returns settings that were written up to the store's port."""
    lines = text.splitlines()
    store = next(line for line in lines if line.startswith(STORE_FIELD))
    return '\n'.join([*(line for line in lines if line != store), store[:-1]])


PARTIAL_SETTINGS: dict[str, Callable[[str], str | None]] = {
    'missing': lambda _: None,
    'empty': lambda _: '',
    'half': lambda text: text[:150],
    'last-digit': _without_last_digit,
}


@pytest.mark.parametrize('name', PARTIAL_SETTINGS)
def test_process_ends_while_its_settings_are_written(
    name: str, tmp_path: Path
) -> None:
    async def run() -> None:
        async with prepared_front(tmp_path) as front:
            text = front.settings_file.read_text()
            partial = PARTIAL_SETTINGS[name](text)
            if partial is None:
                front.settings_file.unlink()
            else:
                front.settings_file.write_text(partial)
            await front.launch()
            await asyncio.sleep(PARTIAL_S)
            assert front.is_running
            front.settings_file.write_text(text)
            await front.wait_ready_unharmed(within_s=WITHIN_S)

    asyncio.run(run())
