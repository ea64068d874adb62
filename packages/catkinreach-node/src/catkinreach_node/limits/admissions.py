"""Where admissions are noted for the proof of the limits."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from catkinreach_core.ids import WorkspaceId


class AdmissionSink(Protocol):
    """Takes note of every admission."""

    def note(self, workspace_id: WorkspaceId, tokens: int) -> None:
        """Notes one request that was just admitted."""


class NoAdmissionSink:
    """Keeps nothing."""

    def note(self, workspace_id: WorkspaceId, tokens: int) -> None:
        """Does nothing."""


class AdmissionFile:
    """Appends JSON lines with the machine's monotonic time."""

    def __init__(self, path: Path) -> None:
        """Opens the file; each line is written at once."""
        self._stream = path.open('ab', buffering=0)

    def note(self, workspace_id: WorkspaceId, tokens: int) -> None:
        """Writes one line."""
        line = msgspec.json.encode(
            {
                'event': 'admission',
                'at_s': time.monotonic(),
                'workspace': workspace_id,
                'tokens': tokens,
            }
        )
        self._stream.write(line + b'\n')


def admission_sink(event_log: str) -> AdmissionSink:
    """Returns a sink beside the event log, or none without a log."""
    if not event_log:
        return NoAdmissionSink()
    return AdmissionFile(Path(f'{event_log}.admissions'))


__all__ = (
    'AdmissionFile',
    'AdmissionSink',
    'NoAdmissionSink',
    'admission_sink',
)
