"""Parsers of option values.

Each parser converts text to a typed value or raises ``ValueError``.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from ipaddress import ip_address
from math import isfinite
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct

from .node import Address

if TYPE_CHECKING:
    from enum import Enum

MAX_PORT: Final = 65_535
MAX_COUNT: Final = 1_000_000_000
"""Largest whole number that an option accepts."""

MAX_NUMBER: Final = 1e12
"""Largest number that an option accepts."""

MAX_DURATION_S: Final = 86_400.0
"""Longest duration that an option accepts, in seconds."""

MAX_LINE_CHARS: Final = 1024
"""Longest free text that an option accepts, in characters."""

NAME_EXPECTED: Final = 'a name of up to 64 letters, digits, dots, _ and -'

_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_NUMBER: Final = re.compile(r'[0-9]{1,20}(\.[0-9]{1,20})?')
_COUNT: Final = re.compile('[0-9]{1,12}')
_DURATION: Final = re.compile(r'([0-9.]{1,20}) ?(ms|s|min|h)?')
_DIGEST: Final = re.compile('sha256:([0-9a-f]{64})')
_PATH: Final = re.compile(r"/[A-Za-z0-9._~!$&'()*+,=:@%/-]{0,1023}")
_SECONDS_PER_UNIT: Final[dict[str | None, float]] = {
    None: 1,
    'ms': 0.001,
    's': 1,
    'min': 60,
    'h': 3600,
}
_FLAG_VALUES: Final = {'yes': True, 'no': False}


class Parser(Struct, frozen=True, kw_only=True):
    """Parser of an option's value.

    Attributes:
        expected: Description of valid values for fault messages.
        parse: Returns the value or raises ``ValueError``.
        is_secret: Whether fault messages must not quote the text.
    """

    expected: str
    parse: Callable[[str], Any]
    is_secret: bool = False


def _match_whole(pattern: re.Pattern[str], text: str) -> re.Match[str]:
    """Returns the match of the whole text or raises ``ValueError``."""
    match = pattern.fullmatch(text)
    if match is None:
        raise ValueError(text)
    return match


def _parse_name(text: str) -> str:
    return _match_whole(_NAME, text).group()


def _parse_number(text: str) -> float:
    number = float(_match_whole(_NUMBER, text).group())
    if not 0 < number <= MAX_NUMBER:
        raise ValueError(text)
    return number


def _parse_duration(text: str) -> float:
    match = _match_whole(_DURATION, text)
    seconds = float(match.group(1)) * _SECONDS_PER_UNIT[match.group(2)]
    if not (isfinite(seconds) and 0 < seconds <= MAX_DURATION_S):
        raise ValueError(text)
    return seconds


def _parse_address(text: str) -> Address:
    host, colon, port_text = text.rpartition(':')
    port = int(_match_whole(_COUNT, port_text).group())
    if not colon or not 1 <= port <= MAX_PORT:
        raise ValueError(text)
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    return Address(host=str(ip_address(host)), port=port)


def _parse_digest(text: str) -> str:
    return _match_whole(_DIGEST, text).group(1)


def _parse_text(text: str) -> str:
    if len(text) > MAX_LINE_CHARS or not (text.isprintable() or not text):
        raise ValueError(text)
    return text


def _parse_flag(text: str) -> bool:
    if text not in _FLAG_VALUES:
        raise ValueError(text)
    return _FLAG_VALUES[text]


def _split_list(text: str) -> list[str]:
    """Splits at commas and line breaks and drops empty parts."""
    parts = [part.strip() for part in re.split('[,\n]', text)]
    return [part for part in parts if part]


def list_of(
    parser: Parser, *, expected: str, is_empty_allowed: bool = True
) -> Parser:
    """Returns a parser of a comma-separated list without duplicates."""

    def parse_list(text: str) -> tuple[Any, ...]:
        members = tuple(parser.parse(part) for part in _split_list(text))
        is_missing = not members and not is_empty_allowed
        if is_missing or len(set(members)) != len(members):
            raise ValueError(text)
        return members

    return Parser(
        expected=expected, parse=parse_list, is_secret=parser.is_secret
    )


def whole_number(*, at_least: int, at_most: int = MAX_COUNT) -> Parser:
    """Returns a parser of whole numbers within bounds."""

    def parse_whole_number(text: str) -> int:
        number = int(_match_whole(_COUNT, text).group())
        if not at_least <= number <= at_most:
            raise ValueError(text)
        return number

    return Parser(
        expected=f'a whole number from {at_least} to {at_most}',
        parse=parse_whole_number,
    )


def enum_value(enum_type: type[Enum]) -> Parser:
    """Returns a parser of the values of an ``Enum``."""
    values = ', '.join(str(member.value) for member in enum_type)
    return Parser(expected=f'one of {values}', parse=enum_type)


def one_of(*words: str) -> Parser:
    """Returns a parser that accepts one of the words."""

    def parse_one_of(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return Parser(expected=f'one of {", ".join(words)}', parse=parse_one_of)


NAME: Final = Parser(expected=NAME_EXPECTED, parse=_parse_name)
NAMES: Final = list_of(NAME, expected='names between commas, each once')
NUMBER: Final = Parser(
    expected=f'a number above 0 and at most {MAX_NUMBER:.0f}',
    parse=_parse_number,
)
DURATION: Final = Parser(
    expected='a duration above 0 and at most 24 h, in s, ms, min or h',
    parse=_parse_duration,
)
ADDRESS: Final = Parser(
    expected='IP:PORT with an IP number', parse=_parse_address
)
DIGEST: Final = Parser(
    expected='sha256: and 64 lower-case hex digits',
    parse=_parse_digest,
    is_secret=True,
)
DIGESTS: Final = list_of(
    DIGEST, expected='digests sha256:HEX between commas, each once'
)
PATH: Final = Parser(
    expected="a path that starts with '/'",
    parse=lambda text: _match_whole(_PATH, text).group(),
)
TEXT: Final = Parser(
    expected=f'a line of up to {MAX_LINE_CHARS} characters',
    parse=_parse_text,
)
FLAG: Final = Parser(expected='yes or no', parse=_parse_flag)
METHODS: Final = list_of(
    one_of('DELETE', 'GET', 'HEAD', 'PATCH', 'POST', 'PUT'),
    expected='HTTP methods between commas, each once',
    is_empty_allowed=False,
)

__all__ = (
    'ADDRESS',
    'DIGEST',
    'DIGESTS',
    'DURATION',
    'FLAG',
    'METHODS',
    'NAME',
    'NAMES',
    'NAME_EXPECTED',
    'NUMBER',
    'PATH',
    'TEXT',
    'Parser',
    'enum_value',
    'list_of',
    'one_of',
    'whole_number',
)
