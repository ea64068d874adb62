"""Schema types for sections and options, and the reader that applies them."""

from __future__ import annotations

from collections.abc import Callable
from difflib import get_close_matches
from typing import TYPE_CHECKING, Any, Final, Generic, TypeVar

from msgspec import Struct

from .faults import FaultList, quote_text
from .values import NAME, NAME_EXPECTED, Parser

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .ini import IniDocument, IniOption, IniSection

MAX_FAULTS_WITH_HINT: Final = 100
"""Number of faults of a text after which no more names are suggested."""

MAX_WORD_CHARS: Final = 64
"""Longest part of a word that is compared with known names, in characters."""

RecordT = TypeVar('RecordT')


class OptionSpec(Struct, frozen=True, kw_only=True):
    """Schema of one option of a section.

    Attributes:
        name: Name in the text.
        parser: Parser of the value.
        field: Field of the record; the option's name if empty.
        is_required: Whether the section must have the option; otherwise the
            record's default applies.
    """

    name: str
    parser: Parser
    field: str = ''
    is_required: bool = False


class SectionSpec(Struct, Generic[RecordT], frozen=True, kw_only=True):
    """Schema of one kind of section.

    Attributes:
        kind: First word of the header.
        build: Factory of the record; takes the section's name, if it has one,
            and the fields as keyword arguments.
        options: Every option that the section may have.
        is_named: Whether a name follows the kind.
    """

    kind: str
    build: Callable[..., RecordT]
    options: tuple[OptionSpec, ...]
    is_named: bool = True


def check_section_kinds(
    document: IniDocument,
    specs: tuple[SectionSpec[Any], ...],
    faults: FaultList,
) -> None:
    """Adds a fault for each section of an unknown kind."""
    kinds = tuple(spec.kind for spec in specs)
    for section in document.sections:
        if section.kind not in kinds:
            faults.add(
                line=section.line,
                section=section.title,
                expected=f'a section of a known kind ({", ".join(kinds)})',
                found=quote_text(section.kind),
                sentence=suggest_nearest(section.kind, kinds, faults),
            )


def read_records(
    document: IniDocument, spec: SectionSpec[RecordT], faults: FaultList
) -> dict[str, RecordT]:
    """Returns records by section name; sections with faults are skipped."""
    records: dict[str, RecordT] = {}
    for section in document.of_kind(spec.kind):
        record = read_section(section, spec, faults)
        if record is not None:
            records.setdefault(section.name, record)
    return records


def read_section(
    section: IniSection, spec: SectionSpec[RecordT], faults: FaultList
) -> RecordT | None:
    """Returns the record of a section, or ``None`` after adding its faults."""
    faults_before = len(faults)
    _check_name(section, spec, faults)
    _check_options(section, spec, faults)
    fields = _read_fields(section, spec, faults)
    if len(faults) > faults_before:
        return None
    if spec.is_named:
        return spec.build(section.name, **fields)
    return spec.build(**fields)


def suggest_nearest(word: str, known: Iterable[str], faults: FaultList) -> str:
    """Returns a hint that names the known name most similar to the word.

    Returns:
        The hint; empty if no name is similar or there are
        ``MAX_FAULTS_WITH_HINT`` faults already.
    """
    if len(faults) >= MAX_FAULTS_WITH_HINT:
        return ''
    matches = get_close_matches(
        word[:MAX_WORD_CHARS], list(known), n=1, cutoff=0.4
    )
    return f'Did you mean {matches[0]}?' if matches else ''


def _check_name(
    section: IniSection, spec: SectionSpec[Any], faults: FaultList
) -> None:
    if not spec.is_named:
        if section.name:
            faults.add(
                line=section.line,
                section=section.title,
                expected=f'[{spec.kind}] without a name',
                found=quote_text(section.name),
            )
        return
    try:
        NAME.parse(section.name)
    except ValueError:
        faults.add(
            line=section.line,
            section=section.title,
            expected=f'{NAME_EXPECTED} after {spec.kind}',
            found=quote_text(section.name),
        )


def _check_options(
    section: IniSection, spec: SectionSpec[Any], faults: FaultList
) -> None:
    known = tuple(option.name for option in spec.options)
    for option in section.options.values():
        if option.name not in known:
            faults.add(
                line=option.line,
                section=section.title,
                option=option.name,
                expected='a known option',
                found=quote_text(option.name),
                sentence=suggest_nearest(option.name, known, faults),
            )


def _read_fields(
    section: IniSection, spec: SectionSpec[Any], faults: FaultList
) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for option_spec in spec.options:
        option = section.options.get(option_spec.name)
        if option is not None:
            field = option_spec.field or option_spec.name
            fields[field] = _read_option(section, option_spec, option, faults)
        elif option_spec.is_required:
            faults.add(
                line=section.line,
                section=section.title,
                option=option_spec.name,
                expected=option_spec.parser.expected,
                found='no such option',
            )
    return fields


def _read_option(
    section: IniSection,
    spec: OptionSpec,
    option: IniOption,
    faults: FaultList,
) -> Any:
    """Returns the parsed value, or ``None`` after adding a fault."""
    parser = spec.parser
    try:
        return parser.parse(option.text)
    except ValueError:
        faults.add(
            line=option.line,
            section=section.title,
            option=option.name,
            expected=parser.expected,
            found='another text'
            if parser.is_secret
            else quote_text(option.text),
        )
    return None


__all__ = (
    'OptionSpec',
    'SectionSpec',
    'check_section_kinds',
    'read_records',
    'read_section',
    'suggest_nearest',
)
