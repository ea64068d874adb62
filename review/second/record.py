"""What a case saw: lines with the time since its start."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Lines of a case, written to ``record.txt`` in its folder."""

    def __init__(self, folder: Path) -> None:
        """Starts without a line."""
        self._file = folder / 'record.txt'
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def note(self, text: str, at_s: float | None = None) -> None:
        """Adds a line.

        Args:
            text: The line.
            at_s: Monotonic time of what it tells; ``None`` for now.
        """
        now_s = time.monotonic() if at_s is None else at_s
        self._lines.append(f'{now_s - self._started_s:8.3f} s  {text}')

    def save(self) -> None:
        """Writes all lines, in the order of time."""
        text = ''.join(f'{line}\n' for line in sorted(self._lines))
        self._file.write_text(text, encoding='utf-8')
