"""Short overlapping series of starts, stops, kills and changed settings."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.soak.start_series import run_start_series

if TYPE_CHECKING:
    from pathlib import Path

FRONTS = 6
DURATION_S = 6.0


# A process that started beside its predecessor ended with a traceback.
@pytest.mark.parametrize('seed', [1, 2])
def test_process_ends_by_itself_in_a_series_of_starts(
    seed: int, tmp_path: Path
) -> None:
    violations = asyncio.run(
        run_start_series(
            seed, front_count=FRONTS, duration_s=DURATION_S, folder=tmp_path
        )
    )
    assert not violations
