"""The processes of a deployment and the files that they write."""

from __future__ import annotations

import atexit
import tempfile
from pathlib import Path

import msgspec

from catkinreach_core.ownership.events import LeaseEvent

from .ports import is_listening
from .processes import BenchProcess, wait_until

START_TIMEOUT_S = 30.0
ERROR_LOG_LINES = 6


class ProcessSet:
    """Child processes by name, with a directory for their files.

    Attributes:
        processes: Every process that was started, by name.
    """

    def __init__(self) -> None:
        """Creates the directory; starts no process."""
        self._temporary_directory = tempfile.TemporaryDirectory(
            prefix='catkinreach-'
        )
        self._directory_path = Path(self._temporary_directory.name)
        self.processes: dict[str, BenchProcess] = {}
        atexit.register(self.stop)

    @property
    def directory(self) -> Path:
        """Returns the directory of logs, settings and records."""
        return self._directory_path

    def stop(self) -> None:
        """Kills every process and removes the files.

        Processes are killed in reverse order of their start, so that the nodes
        exit before the upstreams and the platform.
        """
        for process in reversed(self.processes.values()):
            if process.is_running:
                process.resume()
                process.kill()
        self._temporary_directory.cleanup()

    def log_of(self, name: str) -> str:
        """Returns the log of a process."""
        return (self._directory_path / f'{name}.log').read_text(
            errors='replace'
        )

    def capture_path(self, upstream_id: str) -> Path:
        """Returns the file of the bytes that an upstream receives."""
        return self._directory_path / f'{upstream_id}.capture'

    def journal_path(self, upstream_id: str) -> Path:
        """Returns the file to which a plain upstream logs executions."""
        return self._directory_path / f'{upstream_id}.journal'

    def event_log_path(self, vm_id: str) -> Path:
        """Returns the file to which a VM logs its lease events."""
        return self._directory_path / f'{vm_id}.events'

    def wait_listening(self, name: str, port: int) -> None:
        """Waits until a stand-in accepts connections.

        Raises:
            RuntimeError: the stand-in did not listen in time.
        """
        if not wait_until(
            lambda: is_listening(port), timeout_s=START_TIMEOUT_S
        ):
            raise RuntimeError(f'{name} does not listen:\n{self.log_of(name)}')

    def lease_events(self) -> list[LeaseEvent]:
        """Returns the lease events of every VM, also of exited ones."""
        decoder = msgspec.json.Decoder(LeaseEvent)
        return [
            event
            for path in sorted(self._directory_path.glob('*.events'))
            for event in decoder.decode_lines(path.read_bytes())
        ]

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Starts a process, or restarts the exited process of the name."""
        if name not in self.processes:
            self.processes[name] = BenchProcess(
                name, module, self._directory_path / f'{name}.log'
            )
        self.processes[name].start(*arguments)

    def describe_process(self, name: str) -> str:
        """Returns the state of a process and the last lines of its log."""
        state = 'runs' if self.processes[name].is_running else 'has ended'
        lines = self.log_of(name).splitlines()[-ERROR_LOG_LINES:]
        return '\n  '.join([f'{name} {state}:', *lines])


__all__ = ('START_TIMEOUT_S', 'ProcessSet')
