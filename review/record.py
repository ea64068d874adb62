"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writes one line for each thing that was seen."""

    def __init__(self, path: Path) -> None:
        """Opens the file anew."""
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._started_s

    def write(self, what: str, **fields: object) -> None:
        """Writes a line."""
        pairs = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{self.now_s:8.3f} {what} {pairs}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes a line, and shows it."""
        self.write('note', text=text)
        sys.stdout.write(text + '\n')

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
