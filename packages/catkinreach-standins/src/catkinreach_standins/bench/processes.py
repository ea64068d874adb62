"""Child processes of a bench: start, freeze, wake, kill and reap."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

STOP_LIMIT_S = 10.0


class BenchProcess:
    """One child process with a log file of its own."""

    def __init__(self, name: str, module: str, log: Path) -> None:
        """Prepares ``python -m module``; nothing runs yet."""
        self.name = name
        self._module = module
        self._log = log
        self._arguments: tuple[str, ...] = ()
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Returns the process id of the running child."""
        return self._running.pid

    @property
    def is_running(self) -> bool:
        """Tells whether the child runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code, ``None`` while the child runs."""
        return self._running.poll()

    @property
    def _running(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(f'{self.name} was not started')
        return self._process

    def start(self, *arguments: str) -> None:
        """Starts the child; without arguments as it was started before."""
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
        """Pauses the child."""
        self._running.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused child go on."""
        self._running.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Ends the child at once."""
        self._running.kill()
        self._running.wait()

    def terminate(self) -> None:
        """Asks the child to end by itself."""
        self._running.terminate()

    def wait(self, limit_s: float) -> int:
        """Returns the exit code once the child has ended."""
        return self._running.wait(limit_s)

    def stop(self) -> None:
        """Ends the child, at first kindly."""
        if not self.is_running:
            return
        self.resume()
        self.terminate()
        try:
            self.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()


def wait_until(
    condition: object, *, limit_s: float, step_s: float = 0.05
) -> bool:
    """Polls a condition until it holds or the limit is over."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if callable(condition) and condition():
            return True
        time.sleep(step_s)
    return False


__all__ = ('BenchProcess', 'wait_until')
