"""Earlier builds of the gateway, for tests that run them beside this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.builds import (
    LANDINGS,
    NoSuchBuildError,
    check_out_build,
)

if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture(scope='session')
def earlier_builds(
    tmp_path_factory: pytest.TempPathFactory,
) -> tuple[Path, ...]:
    """Returns checkouts of the last landings.

    Only a clone without the history lacks them.
    """
    folder = tmp_path_factory.mktemp('builds')
    try:
        return tuple(check_out_build(commit, folder) for commit in LANDINGS)
    except NoSuchBuildError as error:
        pytest.skip(str(error))
