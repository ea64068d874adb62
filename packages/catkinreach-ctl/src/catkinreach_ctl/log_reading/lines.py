"""Parses lines of the decision log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.documents import DocumentError, decode_document

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a decision log.

    Attributes:
        source: Name of the log file; a file holds the lines of one process.
        time_s: Unix time of the event.
        event: Name of the event.
        fields: The event's other fields.
    """

    source: str
    time_s: float
    event: str
    fields: Mapping[str, object]

    @property
    def request(self) -> str:
        """Returns the id of the request of the event, empty without one."""
        return self.text('request')

    def text(self, name: str) -> str:
        """Returns a field as text, empty if it is missing."""
        member = self.fields.get(name)
        return '' if member is None else str(member)


class _RequiredFields(msgspec.Struct):
    """Fields that every line of the log has."""

    event: str
    time: float


_DECODER = msgspec.json.Decoder(dict[str, object])


def read_lines(source: str, lines: Iterable[bytes]) -> Iterator[LogLine | None]:
    """Yields the parsed lines.

    A line that is not a JSON object with an event and a time, such as a
    traceback, yields ``None``.
    """
    for line in lines:
        try:
            fields = decode_document(_DECODER, line)
            required = msgspec.convert(fields, _RequiredFields)
        except (DocumentError, msgspec.ValidationError):
            yield None
            continue
        yield LogLine(source, required.time, required.event, fields)


__all__ = ('LogLine', 'read_lines')
