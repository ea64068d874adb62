"""The script that starts the process of a front VM."""

from __future__ import annotations

import runpy
import signal
import sys
from pathlib import Path
from types import ModuleType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

import pytest

SCRIPT = Path(__file__).parents[4] / 'deploy' / 'front.py'
ENTRY_MODULE = 'catkinreach_node.platform.run'


@pytest.fixture(autouse=True)
def _default_hangup() -> Iterator[None]:
    earlier = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, earlier)


def test_reload_signal_ends_a_process_that_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The handler was installed only once the settings had been read.
    handlers: list[object] = []
    entry = ModuleType(ENTRY_MODULE)
    monkeypatch.setattr(
        entry,
        'main',
        lambda: handlers.append(signal.getsignal(signal.SIGHUP)),
        raising=False,
    )
    monkeypatch.setitem(sys.modules, ENTRY_MODULE, entry)
    monkeypatch.setattr(sys, 'path', list(sys.path))
    runpy.run_path(str(SCRIPT))
    assert handlers == [signal.SIG_IGN]
