"""Child processes of a deployment."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

STOP_TIMEOUT_S = 10.0


class BenchProcess:
    """Child process that runs a Python module and logs to a file."""

    def __init__(self, name: str, module: str, log: Path) -> None:
        """Prepares ``python -m module`` without starting it."""
        self.name = name
        self._module = module
        self._log = log
        self._arguments: tuple[str, ...] = ()
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Returns the process id of the running child."""
        return self._started_process.pid

    @property
    def is_running(self) -> bool:
        """Returns whether the child runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code, ``None`` while the child runs."""
        return self._started_process.poll()

    @property
    def _started_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(f'{self.name} was not started')
        return self._process

    def start(self, *arguments: str) -> None:
        """Starts the child, by default with the arguments of its last start."""
        self._arguments = arguments or self._arguments
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(  # noqa: S603 - our own modules
                [sys.executable, '-m', self._module, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def freeze(self) -> None:
        """Pauses the child with SIGSTOP."""
        self._started_process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused child with SIGCONT."""
        self._started_process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the child with SIGKILL and reaps it."""
        self._started_process.kill()
        self._started_process.wait()

    def terminate(self) -> None:
        """Sends SIGTERM to the child."""
        self._started_process.terminate()

    def wait(self, timeout_s: float) -> int:
        """Waits for the child to exit and returns its exit code."""
        return self._started_process.wait(timeout_s)

    def stop(self) -> None:
        """Terminates the child; kills it after ``STOP_TIMEOUT_S``."""
        if not self.is_running:
            return
        self.resume()
        self.terminate()
        try:
            self.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()


def wait_until(
    condition: object, *, timeout_s: float, step_s: float = 0.05
) -> bool:
    """Polls a condition until it holds or the timeout is over.

    Returns:
        Whether the condition held in time.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if callable(condition) and condition():
            return True
        time.sleep(step_s)
    return False


__all__ = ('BenchProcess', 'wait_until')
