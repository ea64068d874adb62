"""Background threads of a scenario, and rolling restarts of its VMs."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .faults import FaultInjector

RESTART_PERIOD_S = 0.3


class PeriodicThread:
    """Thread that repeats an action until it is stopped."""

    def __init__(self, action: Callable[[], None], period_s: float) -> None:
        """Starts the thread; the period is the pause between two actions."""
        self._action = action
        self._period_s = period_s
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the running action."""
        self._stop_requested.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop_requested.wait(self._period_s):
            self._action()


class UpstreamRestarts:
    """Restarts upstreams that have exited, as the platform does.

    Attributes:
        crashes: Name of the upstream of each restart, in order.
    """

    def __init__(self, faults: FaultInjector) -> None:
        """Starts to poll the upstreams' processes."""
        self._faults = faults
        self.crashes: list[str] = []
        self._poller = PeriodicThread(self._restart_exited, RESTART_PERIOD_S)

    def stop(self) -> None:
        """Stops the restarts."""
        self._poller.stop()

    def _restart_exited(self) -> None:
        for upstream_id in self._faults.exited_upstreams():
            self.crashes.append(upstream_id)
            self._faults.restart_upstream(upstream_id)


def roll_each_vm(faults: FaultInjector, *, limit_s: float) -> None:
    """Stops and starts every VM in turn; each drains before it exits."""
    for vm_id in faults.vm_ids():
        process = faults.process(vm_id)
        process.terminate()
        process.wait(limit_s)
        faults.restart_vm(vm_id)
        time.sleep(1.0)


__all__ = ('PeriodicThread', 'UpstreamRestarts', 'roll_each_vm')
