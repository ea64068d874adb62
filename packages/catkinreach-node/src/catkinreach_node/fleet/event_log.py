"""Log of lease events as JSON lines, read by the ownership checker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_core.ownership.events import LeaseEvent


class EventLog:
    """Appends events to a file; owns the file."""

    def __init__(self, path: Path) -> None:
        """Opens the file for appending."""
        self._file = path.open('ab', buffering=0)
        self._encoder = msgspec.json.Encoder()

    def write(self, event: LeaseEvent) -> None:
        """Appends one event."""
        self._file.write(self._encoder.encode(event) + b'\n')

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


__all__ = ('EventLog',)
