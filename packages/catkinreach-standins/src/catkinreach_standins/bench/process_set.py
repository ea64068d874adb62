"""The processes of a deployment with their files."""

from __future__ import annotations

import atexit
import tempfile
from pathlib import Path

import msgspec

from catkinreach_core.ownership.events import LeaseEvent

from .ports import is_listening
from .processes import BenchProcess, wait_until

START_LIMIT_S = 30.0
LOG_LINES = 6


class ProcessSet:
    """Child processes by name, with a directory for what they write.

    Attributes:
        processes: Every process that was started, by name.
    """

    def __init__(self) -> None:
        """Makes the directory; nothing runs yet."""
        self._directory = tempfile.TemporaryDirectory(prefix='catkinreach-')
        self._path = Path(self._directory.name)
        self.processes: dict[str, BenchProcess] = {}
        atexit.register(self.stop)

    @property
    def directory(self) -> Path:
        """Returns the directory of logs and settings."""
        return self._path

    def stop(self) -> None:
        """Ends every process, the nodes first."""
        for process in reversed(self.processes.values()):
            if process.is_running:
                process.resume()
                process.kill()
        self._directory.cleanup()

    def log_of(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self._path / f'{name}.log').read_text(errors='replace')

    def capture_path(self, upstream_id: str) -> Path:
        """Returns the file of the bytes that an upstream received."""
        return self._path / f'{upstream_id}.capture'

    def journal_path(self, upstream_id: str) -> Path:
        """Returns the file of a plain upstream's executions."""
        return self._path / f'{upstream_id}.journal'

    def event_log_path(self, vm_id: str) -> Path:
        """Returns the file of a VM's lease events."""
        return self._path / f'{vm_id}.events'

    def wait_listening(self, name: str, port: int) -> None:
        """Waits until a stand-in accepts connections."""
        if not wait_until(lambda: is_listening(port), limit_s=START_LIMIT_S):
            raise RuntimeError(f'{name} does not listen:\n{self.log_of(name)}')

    def lease_events(self) -> list[LeaseEvent]:
        """Returns the lease events of every VM, of ended ones too."""
        decoder = msgspec.json.Decoder(LeaseEvent)
        return [
            event
            for path in sorted(self._path.glob('*.events'))
            for event in decoder.decode_lines(path.read_bytes())
        ]

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Starts a process, or starts it again."""
        if name not in self.processes:
            self.processes[name] = BenchProcess(
                name, module, self._path / f'{name}.log'
            )
        self.processes[name].start(*arguments)

    def last_lines(self, name: str) -> str:
        """Returns the state of a process and the end of its log."""
        state = 'runs' if self.processes[name].is_running else 'has ended'
        lines = self.log_of(name).splitlines()[-LOG_LINES:]
        return '\n  '.join([f'{name} {state}:', *lines])


__all__ = ('START_LIMIT_S', 'ProcessSet')
