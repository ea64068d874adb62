"""Reader of INI text that records the line of each section and option.

Each section is parsed separately by ``iniconfig``. A parse error is recorded
as a fault, its line is blanked and the section is parsed again, so that one
syntax error doesn't hide the next.
"""

from __future__ import annotations

from typing import Final

from iniconfig import COMMENTCHARS, IniConfig, ParseError
from msgspec import Struct

from .faults import FaultList, quote_text

MAX_TEXT_BYTES: Final = 1_000_000
"""Largest settings text, in bytes of UTF-8."""

MAX_SYNTAX_FAULTS: Final = 25
"""Number of syntax faults after which a section is skipped."""

_BYTE_ORDER_MARK: Final = '\ufeff'


class IniOption(Struct, frozen=True, kw_only=True):
    """One option with its unparsed value."""

    name: str
    text: str
    line: int


class IniSection(Struct, frozen=True, kw_only=True):
    """One section with its options; the header is ``[kind name]``."""

    kind: str
    name: str
    line: int
    options: dict[str, IniOption]

    @property
    def title(self) -> str:
        """Returns the header without brackets."""
        return f'{self.kind} {self.name}'.strip()

    def line_of(self, option: str) -> int:
        """Returns the option's line, or the header's line if it is missing."""
        found = self.options.get(option)
        return found.line if found else self.line


class IniDocument(Struct, frozen=True, kw_only=True):
    """All sections of a text in order, including duplicates."""

    sections: tuple[IniSection, ...]

    def of_kind(self, kind: str) -> tuple[IniSection, ...]:
        """Returns the sections of one kind in the order of the text."""
        return tuple(
            section for section in self.sections if section.kind == kind
        )


class _RawSection(Struct):
    """Unparsed lines of one section; ``first_line`` is counted from 1."""

    first_line: int
    lines: list[str]


def read_document(text: str, *, faults: FaultList) -> IniDocument:
    """Reads INI text; adds syntax errors and duplicates to ``faults``."""
    size = len(text.encode('utf-8', 'replace'))
    if size > MAX_TEXT_BYTES:
        faults.add(
            line=1,
            expected=f'at most {MAX_TEXT_BYTES} bytes',
            found=f'{size} bytes',
        )
        return IniDocument(sections=())
    sections: list[IniSection] = []
    first_by_title: dict[str, IniSection] = {}
    for raw in _split_sections(text.removeprefix(_BYTE_ORDER_MARK)):
        section = _read_section(raw, faults)
        if section is None:
            continue
        sections.append(section)
        first = first_by_title.setdefault(section.title, section)
        if first is not section:
            faults.add(
                line=section.line,
                section=section.title,
                expected='each section once',
                found=f'a duplicate of line {first.line}',
            )
    return IniDocument(sections=tuple(sections))


def _split_sections(text: str) -> list[_RawSection]:
    """Splits the text into sections, before each header line."""
    raw_sections = [_RawSection(first_line=1, lines=[])]
    for number, line in enumerate(text.splitlines(), start=1):
        if line.startswith('['):
            raw_sections.append(_RawSection(first_line=number, lines=[]))
        raw_sections[-1].lines.append(line)
    return raw_sections


def _read_section(raw: _RawSection, faults: FaultList) -> IniSection | None:
    """Reads one section; ``None`` if it has no valid header or is skipped."""
    if not raw.lines:
        return None
    header = _read_header(raw.lines[0])
    if header == '':
        faults.add(
            line=raw.first_line,
            expected='a header such as [pool NAME]',
            found=quote_text(raw.lines[0]),
        )
        return None
    config = _parse_section(raw, header or '', faults)
    if header is None or config is None:
        return None
    return _to_section(raw, header, config)


def _read_header(line: str) -> str | None:
    """Returns the title in a header line.

    Returns:
        The title; empty if the header is malformed, ``None`` if the line is
        no header.
    """
    if not line.startswith('['):
        return None
    for comment_char in COMMENTCHARS:
        line = line.split(comment_char, maxsplit=1)[0].rstrip()
    return ' '.join(line[1:-1].split()) if line.endswith(']') else ''


def _parse_section(
    raw: _RawSection, title: str, faults: FaultList
) -> IniConfig | None:
    """Parses the lines of a section without those that have syntax errors.

    Returns:
        The parsed section; ``None`` after ``MAX_SYNTAX_FAULTS`` errors.
    """
    lines = list(raw.lines)
    for _ in range(MAX_SYNTAX_FAULTS):
        try:
            return IniConfig.parse('', '\n'.join(lines))
        except ParseError as error:
            faults.add(
                line=raw.first_line + error.lineno,
                section=title,
                expected='a line such as OPTION = VALUE, each option once',
                found=_describe_line(lines[error.lineno]),
                sentence=f'{_parser_message(error)}.',
            )
            lines[error.lineno] = ''
    faults.add(
        line=raw.first_line,
        section=title,
        expected=f'fewer than {MAX_SYNTAX_FAULTS} syntax errors',
        found='more; the section is skipped',
    )
    return None


def _describe_line(line: str) -> str:
    """Describes a line by its option name.

    The value is left out, since it may be a secret.
    """
    option, equals, _ = line.partition('=')
    if equals:
        return f'the option {quote_text(option)}'
    return 'a line without ='


def _parser_message(error: ParseError) -> str:
    """Returns the parser's message without the text that it quotes.

    The messages have the form ``unexpected line: TEXT`` or ``duplicate name
    NAME``; the text may hold a secret.
    """
    return error.msg.partition(':')[0].partition(' name ')[0].capitalize()


def _to_section(raw: _RawSection, title: str, config: IniConfig) -> IniSection:
    """Converts a parsed section."""
    kind, _, name = title.partition(' ')
    parsed = next(iter(config))
    options = {
        option: IniOption(
            name=option,
            text=text,
            line=raw.first_line + (parsed.lineof(option) or 1) - 1,
        )
        for option, text in parsed.items()
    }
    return IniSection(
        kind=kind, name=name, line=raw.first_line, options=options
    )


__all__ = (
    'MAX_SYNTAX_FAULTS',
    'MAX_TEXT_BYTES',
    'IniDocument',
    'IniOption',
    'IniSection',
    'read_document',
)
