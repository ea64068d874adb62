"""Files to which a stand-in appends, such as captures of received bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from .http import BytesSink


def open_append_sink(path: Path | None) -> BytesSink | None:
    """Returns a sink that appends to the file, ``None`` without a path."""
    if path is None:
        return None
    stream = path.open('ab', buffering=0)

    def append(chunk: bytes) -> None:
        stream.write(chunk)

    return append


__all__ = ('open_append_sink',)
