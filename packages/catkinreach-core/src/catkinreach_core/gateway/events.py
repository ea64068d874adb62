"""Splits the bytes of a server-sent event stream into events.

Only complete events are passed on: a stream whose connection is lost in the
middle of an event can resume at another upstream, after the last event that
was sent to the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

_ID_FIELD = b'id:'
_EVENT_END = b'\n\n'


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event.

    Attributes:
        data: Bytes of the event with the blank line that ends it.
        event_id: Value of the id field; ``None`` if it isn't a number.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Splits a stream of bytes into events."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Returns the bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Buffers bytes; returns the events that they complete."""
        *complete, self._rest = (self._rest + data).split(_EVENT_END)
        return [
            StreamEvent(part + _EVENT_END, _event_id(part)) for part in complete
        ]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            number = line.removeprefix(_ID_FIELD).strip()
            return int(number) if number.isdigit() else None
    return None


__all__ = ('EventSplitter', 'StreamEvent')
