"""Threads beside a scenario: samples, load, restarts by the platform."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .faults import FaultInjector

RESTART_PERIOD_S = 0.3


class Background:
    """Repeats an action on a thread until it is stopped."""

    def __init__(self, action: Callable[[], None], period_s: float) -> None:
        """Starts at once; the period is the pause between two actions."""
        self._action = action
        self._period_s = period_s
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Waits until the action under way has ended."""
        self._is_over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_over.wait(self._period_s):
            self._action()


class UpstreamRestarts:
    """Starts upstreams again that have ended, as the platform does.

    Attributes:
        crashes: Names of the upstreams that had ended, in order.
    """

    def __init__(self, faults: FaultInjector) -> None:
        """Starts to watch the upstreams."""
        self._faults = faults
        self.crashes: list[str] = []
        self._background = Background(self._restart_ended, RESTART_PERIOD_S)

    def stop(self) -> None:
        """Ends the watch."""
        self._background.stop()

    def _restart_ended(self) -> None:
        for upstream_id in self._faults.exited_upstreams():
            self.crashes.append(upstream_id)
            self._faults.restart_upstream(upstream_id)


def roll_each_vm(faults: FaultInjector, *, limit_s: float) -> None:
    """Stops and starts every VM in turn; each one drains by itself."""
    for vm_id in faults.vm_ids():
        process = faults.process(vm_id)
        process.terminate()
        process.wait(limit_s)
        faults.restart_vm(vm_id)
        time.sleep(1.0)


__all__ = ('Background', 'UpstreamRestarts', 'roll_each_vm')
