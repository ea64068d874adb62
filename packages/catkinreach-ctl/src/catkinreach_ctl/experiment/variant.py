"""Variants of the fleet settings that an experiment compares."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

_QUEUE_SECTION = 'queue'
_POLICY_OPTION = 'policy'


class SettingChange(Struct, frozen=True):
    """A new value for one option of the fleet settings."""

    section: str
    option: str
    text: str

    @classmethod
    def from_text(cls, text: str) -> SettingChange:
        """Parses ``SECTION.OPTION=VALUE``.

        Raises:
            ValueError: if the text has another form.
        """
        path, equals, setting = text.partition('=')
        section, dot, option = path.rpartition('.')
        if not equals or not dot:
            raise ValueError(f'expected SECTION.OPTION=VALUE, found {text!r}')
        return cls(section, option, setting)

    def apply(self, fleet_text: str) -> str:
        """Returns the fleet settings with the option set."""
        header = re.compile(
            rf'^\[{re.escape(self.section)}\][^\n]*\n', re.MULTILINE
        )
        header_match = header.search(fleet_text)
        line = f'{self.option} = {self.text}\n'
        if header_match is None:
            return f'{fleet_text}\n[{self.section}]\n{line}'
        before, after = (
            fleet_text[: header_match.end()],
            fleet_text[header_match.end() :],
        )
        content, *rest = re.split(r'(?=^\[)', after, maxsplit=1, flags=re.M)
        option_line = re.compile(
            rf'^{re.escape(self.option)}\s*=[^\n]*\n', re.MULTILINE
        )
        return ''.join((before, line, option_line.sub('', content), *rest))


class Variant(Struct, frozen=True):
    """A named set of changes to the fleet settings."""

    name: str
    changes: tuple[SettingChange, ...] = ()

    @classmethod
    def from_text(cls, text: str) -> Variant:
        """Parses ``NAME`` or ``NAME:SECTION.OPTION=VALUE,...``.

        A name without changes, other than ``default``, is a queue policy.

        Raises:
            ValueError: if a change has another form.
        """
        name, colon, changes = text.partition(':')
        if colon:
            texts = changes.split(',')
            return cls(name, tuple(map(SettingChange.from_text, texts)))
        if name == 'default':
            return cls(name)
        return cls(name, (SettingChange(_QUEUE_SECTION, _POLICY_OPTION, name),))

    def apply(self, fleet_text: str) -> str:
        """Returns the fleet settings of this variant."""
        return apply_changes(fleet_text, self.changes)


def apply_changes(fleet_text: str, changes: Iterable[SettingChange]) -> str:
    """Returns the fleet settings with all changes applied in order."""
    for change in changes:
        fleet_text = change.apply(fleet_text)
    return fleet_text


__all__ = ('SettingChange', 'Variant', 'apply_changes')
