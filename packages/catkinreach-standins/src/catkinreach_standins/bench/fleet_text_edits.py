"""Edits of the fleet configuration's INI text, as operators make them."""

from __future__ import annotations


def _section_span(lines: list[str], section: str) -> tuple[int, int]:
    start = lines.index(f'[{section}]')
    for number in range(start + 1, len(lines)):
        if lines[number].startswith('['):
            return start, number
    return start, len(lines)


def set_option(text: str, section: str, option: str, value: str) -> str:
    """Returns the text with an option of a section set.

    Raises:
        ValueError: there is no such section.
    """
    lines = text.splitlines()
    start, end = _section_span(lines, section)
    line = f'{option} = {value}'
    for number in range(start + 1, end):
        if lines[number].partition('=')[0].strip() == option:
            lines[number] = line
            return '\n'.join(lines) + '\n'
    lines.insert(start + 1, line)
    return '\n'.join(lines) + '\n'


def add_section(text: str, section: str, options: dict[str, str]) -> str:
    """Returns the text with a section appended."""
    body = ''.join(f'{option} = {value}\n' for option, value in options.items())
    return f'{text}\n[{section}]\n{body}'


def remove_section(text: str, section: str) -> str:
    """Returns the text without a section.

    Raises:
        ValueError: there is no such section.
    """
    lines = text.splitlines()
    start, end = _section_span(lines, section)
    return '\n'.join(lines[:start] + lines[end:]) + '\n'


__all__ = ('add_section', 'remove_section', 'set_option')
