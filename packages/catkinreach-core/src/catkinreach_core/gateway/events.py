"""Events of a stream, cut from the bytes as they arrive.

Only whole events leave: a stream that breaks in the middle of an event can
go on elsewhere after the last one that the caller has.
"""

from __future__ import annotations

from dataclasses import dataclass

_ID_FIELD = b'id:'
_EVENT_END = b'\n\n'


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    Attributes:
        data: Its bytes with the blank line that ends it.
        event_id: Its number, ``None`` if it has none.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        """Starts without bytes."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Returns the bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes; returns the events that they complete."""
        *whole, self._rest = (self._rest + data).split(_EVENT_END)
        return [
            StreamEvent(part + _EVENT_END, _event_id(part)) for part in whole
        ]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            number = line.removeprefix(_ID_FIELD).strip()
            return int(number) if number.isdigit() else None
    return None


__all__ = ('EventSplitter', 'StreamEvent')
