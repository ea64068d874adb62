"""Log of admissions, from which tests verify the rate limits."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from catkinreach_core.ids import WorkspaceId


class AdmissionSink(Protocol):
    """Records every admission."""

    def record_admission(self, workspace_id: WorkspaceId, tokens: int) -> None:
        """Records one request that was just admitted."""


class NoAdmissionSink:
    """Discards admissions."""

    def record_admission(self, workspace_id: WorkspaceId, tokens: int) -> None:
        """Does nothing."""


class AdmissionFile:
    """Appends admissions to a file as JSON lines with the monotonic time."""

    def __init__(self, path: Path) -> None:
        """Opens the file without buffering."""
        self._stream = path.open('ab', buffering=0)

    def record_admission(self, workspace_id: WorkspaceId, tokens: int) -> None:
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
    """Returns a sink next to the event log; it discards if there is no log."""
    if not event_log:
        return NoAdmissionSink()
    return AdmissionFile(Path(f'{event_log}.admissions'))


__all__ = (
    'AdmissionFile',
    'AdmissionSink',
    'NoAdmissionSink',
    'admission_sink',
)
