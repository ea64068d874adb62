"""Lines of the decision log, read back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line.

    Attributes:
        source: File that it stands in; one file holds one process's lines.
        time_s: Unix time.
        event: Name of the event.
        fields: The event's other fields.
    """

    source: str
    time_s: float
    event: str
    fields: Mapping[str, object]

    @property
    def request(self) -> str:
        """Returns the id of the request that it touches, if any."""
        return self.text('request')

    def text(self, name: str) -> str:
        """Returns a field as text, empty if it is missing."""
        found = self.fields.get(name)
        return '' if found is None else str(found)


class _Head(msgspec.Struct):
    event: str
    time: float


_DECODER = msgspec.json.Decoder(dict[str, object])


def read_lines(source: str, lines: Iterable[bytes]) -> Iterator[LogLine | None]:
    """Yields each line, ``None`` for one that is no document of the log."""
    for line in lines:
        try:
            fields = _DECODER.decode(line)
            head = msgspec.convert(fields, _Head)
        except msgspec.DecodeError:
            yield None
            continue
        yield LogLine(source, head.time, head.event, fields)


__all__ = ('LogLine', 'read_lines')
