"""Splits the bytes of a server-sent event stream into events.

Only complete events are passed on: a stream whose connection is lost in the
middle of an event can resume at another upstream, after the last event that
was sent to the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

_ID_FIELD = b'id:'
_EVENT_END = b'\n\n'

MAX_EVENT_BYTES = 64 * 1024
"""Longest event; more bytes without the end of one are no stream of events."""


MAX_ID_DIGITS = 15
"""Digits of an event's number; longer ids are no numbers."""


class EventTooLongError(Exception):
    """The bytes of a stream contain no end of an event."""


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
        """Buffers bytes; returns the events that they complete.

        Raises:
            EventTooLongError: if an event has no end.
        """
        *complete, self._rest = (self._rest + data).split(_EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f'{len(self._rest)} bytes without the end of an event'
            )
        return [
            StreamEvent(part + _EVENT_END, _event_id(part)) for part in complete
        ]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            number = line.removeprefix(_ID_FIELD).strip()
            is_number = number.isdigit() and len(number) <= MAX_ID_DIGITS
            return int(number) if is_number else None
    return None


__all__ = (
    'MAX_EVENT_BYTES',
    'EventSplitter',
    'EventTooLongError',
    'StreamEvent',
)
