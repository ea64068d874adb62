"""How the events of a stream are numbered."""

from __future__ import annotations

FIRST_NUMBERS = frozenset({0, 1})
"""Numbers of a first event from which others may follow one by one."""


class EventNumbering:
    """Numbers of a stream's events, which increase.

    Whether they increase one by one is known from the events so far; only then
    does a gap show that events are missing.
    """

    def __init__(self, resume_after: int | None) -> None:
        """Starts before the first event.

        Args:
            resume_after: Last event that the caller had before the request.
        """
        self._last_id = resume_after
        self._is_one_by_one = True

    def note(self, event_id: int) -> None:
        """Notes the number of the next event."""
        if self._last_id is None:
            self._is_one_by_one = event_id in FIRST_NUMBERS
        else:
            self._is_one_by_one &= event_id == self._last_id + 1
        self._last_id = event_id

    def goes_on_at(self, event_id: int, resume_after: int) -> bool:
        """Returns whether an event may be the next one after another one."""
        if self._is_one_by_one:
            return event_id == resume_after + 1
        return event_id > resume_after


__all__ = ('EventNumbering',)
