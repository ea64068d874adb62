"""Capture of every byte that a stand-in receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from .http import BytesSink


def open_append_sink(path: Path | None) -> BytesSink | None:
    """Return a sink that appends to the path, or ``None`` without one."""
    if path is None:
        return None
    stream = path.open('ab', buffering=0)

    def append(chunk: bytes) -> None:
        stream.write(chunk)

    return append


__all__ = ('open_append_sink',)
