"""Variants that an experiment compares."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

_QUEUE = 'queue'
_POLICY = 'policy'


class SettingChange(Struct, frozen=True):
    """One option of the fleet's text with another value."""

    section: str
    option: str
    text: str

    @classmethod
    def from_text(cls, text: str) -> SettingChange:
        """Reads ``SECTION.OPTION=VALUE``.

        Raises:
            ValueError: if the text is anything else.
        """
        path, equals, setting = text.partition('=')
        section, dot, option = path.rpartition('.')
        if not equals or not dot:
            raise ValueError(f'expected SECTION.OPTION=VALUE, found {text!r}')
        return cls(section, option, setting)

    def apply(self, fleet_text: str) -> str:
        """Returns the fleet's text with the option set."""
        header = re.compile(
            rf'^\[{re.escape(self.section)}\][^\n]*\n', re.MULTILINE
        )
        found = header.search(fleet_text)
        line = f'{self.option} = {self.text}\n'
        if found is None:
            return f'{fleet_text}\n[{self.section}]\n{line}'
        head, body = fleet_text[: found.end()], fleet_text[found.end() :]
        content, *rest = re.split(r'(?=^\[)', body, maxsplit=1, flags=re.M)
        known = re.compile(
            rf'^{re.escape(self.option)}\s*=[^\n]*\n', re.MULTILINE
        )
        return ''.join((head, line, known.sub('', content), *rest))


class Variant(Struct, frozen=True):
    """A named set of changes of the fleet's text."""

    name: str
    changes: tuple[SettingChange, ...] = ()

    @classmethod
    def from_text(cls, text: str) -> Variant:
        """Reads ``NAME`` or ``NAME:SECTION.OPTION=VALUE,...``.

        A bare name other than ``default`` is a policy of the queue.

        Raises:
            ValueError: if a change can't be read.
        """
        name, colon, changes = text.partition(':')
        if colon:
            texts = changes.split(',')
            return cls(name, tuple(map(SettingChange.from_text, texts)))
        if name == 'default':
            return cls(name)
        return cls(name, (SettingChange(_QUEUE, _POLICY, name),))

    def apply(self, fleet_text: str) -> str:
        """Returns the fleet's text of this variant."""
        return apply_changes(fleet_text, self.changes)


def apply_changes(fleet_text: str, changes: Iterable[SettingChange]) -> str:
    """Returns the fleet's text with every change."""
    for change in changes:
        fleet_text = change.apply(fleet_text)
    return fleet_text


__all__ = ('SettingChange', 'Variant', 'apply_changes')
