"""Numbers in the headers of callers and upstreams."""

from __future__ import annotations

from catkinreach_core.ranges import MAX_COUNT, MAX_MS


class HeaderNumbers:
    """Reads the numbers of one message.

    Attributes:
        out_of_range: Name of a header with a number out of its range; empty
            for none.
    """

    def __init__(self) -> None:
        """Starts without a number."""
        self.out_of_range = ''

    def count(self, name: str, text: str | None) -> int | None:
        """Returns a number of tokens or events; ``None`` if there is none."""
        digits = (text or '').strip()
        if not digits.isdecimal():
            return None
        # Python converts at most 4,300 digits, zeros included.
        digits = digits.lstrip('0') or '0'
        if len(digits) > len(str(MAX_COUNT)) or int(digits) > MAX_COUNT:
            self.out_of_range = name
            return None
        return int(digits)

    def milliseconds(self, name: str, text: str | None) -> float | None:
        """Returns a time in milliseconds; ``None`` if there is none."""
        return self.number(name, text, MAX_MS)

    def number(
        self, name: str, text: str | None, largest: float
    ) -> float | None:
        """Returns a number from 0 on; ``None`` if there is none."""
        try:
            value = float(text) if text else None
        except ValueError:
            return None
        if value is None or 0 <= value <= largest:
            return value
        self.out_of_range = name
        return None


__all__ = ('HeaderNumbers',)
