"""Faults of a settings text, collected so that all are reported at once."""

from __future__ import annotations

from typing import Final, NoReturn

from msgspec import Struct

from ..errors import CatkinreachError, ErrorKind

MAX_FOUND_CHARS: Final = 60
"""Longest excerpt of a settings text that a fault quotes, in characters."""


class SettingsFault(Struct, frozen=True, kw_only=True):
    """One fault of a settings text.

    Attributes:
        source: Name of the text, for instance its file name.
        section: Section header without brackets; empty outside of sections.
        option: Option name; empty if the whole section is at fault.
        line: Line number, counted from 1.
        found: What the text holds.
        expected: What the text should hold.
        sentence: Hint for the operator; may be empty.
    """

    source: str
    line: int
    expected: str
    found: str
    section: str = ''
    option: str = ''
    sentence: str = ''

    def __str__(self) -> str:
        """Returns the fault as one line."""
        parts = [f'{self.source}:{self.line}']
        if self.section:
            parts.append(f'[{self.section}]')
        if self.option:
            parts.append(self.option)
        line = ' '.join(parts)
        line = f'{line}: expected {self.expected}, found {self.found}'
        return f'{line}. {self.sentence}' if self.sentence else line


class SettingsError(CatkinreachError):
    """Raised for a settings text with faults.

    Attributes:
        faults: Every fault, ordered by line.
    """

    def __init__(self, faults: tuple[SettingsFault, ...]) -> None:
        """Creates the error from all faults of the text."""
        self.faults = faults
        super().__init__(
            ErrorKind.SETTINGS_INVALID,
            '\n'.join(str(fault) for fault in faults),
        )

    def __str__(self) -> str:
        """Returns one line for each fault."""
        return self.detail


class FaultList:
    """Faults of one settings text, collected while it is read."""

    def __init__(self, *, source: str) -> None:
        """Creates an empty list for the text named ``source``."""
        self._source = source
        self._faults: list[SettingsFault] = []

    def __len__(self) -> int:
        """Returns the number of faults so far."""
        return len(self._faults)

    def add(
        self,
        *,
        line: int,
        expected: str,
        found: str,
        section: str = '',
        option: str = '',
        sentence: str = '',
    ) -> None:
        """Adds one fault."""
        self._faults.append(
            SettingsFault(
                source=self._source,
                line=line,
                expected=expected,
                found=found,
                section=shorten_text(section),
                option=shorten_text(option),
                sentence=sentence,
            ),
        )

    def raise_all(self) -> NoReturn:
        """Raises the error that carries all faults, ordered by line."""
        raise SettingsError(
            tuple(sorted(self._faults, key=lambda fault: fault.line)),
        )

    def raise_if_any(self) -> None:
        """Raises the error if there is at least one fault."""
        if self._faults:
            self.raise_all()


def shorten_text(text: str) -> str:
    """Returns the text on one line, cut after ``MAX_FOUND_CHARS``."""
    line = ' '.join(text.split())
    if len(line) <= MAX_FOUND_CHARS:
        return line
    return f'{line[:MAX_FOUND_CHARS]}...'


def quote_text(text: str) -> str:
    """Returns the shortened text in quotes, or ``nothing`` if it is blank."""
    return f"'{shorten_text(text)}'" if text.strip() else 'nothing'


__all__ = (
    'MAX_FOUND_CHARS',
    'FaultList',
    'SettingsError',
    'SettingsFault',
    'quote_text',
    'shorten_text',
)
