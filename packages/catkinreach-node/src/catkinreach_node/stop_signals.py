"""Signals that stop a process gracefully."""

from __future__ import annotations

import asyncio
import signal
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def handled_stop_signals(stop: Callable[[], None]) -> Iterator[None]:
    """Calls a function for each stop signal while the context runs.

    After it they are blocked: the process is about to end, and asyncio restores
    actions that would end it with a signal in place of its exit code.
    """
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


__all__ = ('handled_stop_signals',)
