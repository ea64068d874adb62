"""Background threads of a scenario, and a rolling restart of its VMs."""

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
        """Starts the thread, which pauses for the period before each action."""
        self._action = action
        self._period_s = period_s
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Waits for the running action and stops the thread."""
        self._stop_requested.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop_requested.wait(self._period_s):
            self._action()


class UpstreamRestarter:
    """Restarts upstreams that have exited, as the platform does.

    Attributes:
        restarted_upstreams: Id of the upstream of each restart, in order.
    """

    def __init__(self, faults: FaultInjector) -> None:
        """Starts to check the upstreams' processes periodically."""
        self._faults = faults
        self.restarted_upstreams: list[str] = []
        self._periodic_check = PeriodicThread(
            self._restart_exited, RESTART_PERIOD_S
        )

    def stop(self) -> None:
        """Stops the periodic check."""
        self._periodic_check.stop()

    def _restart_exited(self) -> None:
        for upstream_id in self._faults.exited_upstreams():
            self.restarted_upstreams.append(upstream_id)
            self._faults.restart_upstream(upstream_id)


def restart_each_vm(faults: FaultInjector, *, exit_timeout_s: float) -> None:
    """Restarts the VMs one after another; each drains before it exits.

    Args:
        faults: Injector of the deployment.
        exit_timeout_s: Time in which each VM must drain and exit.
    """
    for vm_id in faults.vm_ids():
        process = faults.process(vm_id)
        process.terminate()
        process.wait(exit_timeout_s)
        faults.restart_vm(vm_id)
        time.sleep(1.0)


__all__ = ('PeriodicThread', 'UpstreamRestarter', 'restart_each_vm')
