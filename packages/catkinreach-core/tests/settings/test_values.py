"""Tests of the parsers of option values."""

from __future__ import annotations

import pytest

from catkinreach_core.settings import values
from catkinreach_core.settings.node import Address


@pytest.mark.parametrize(
    ('parser', 'text', 'value'),
    [
        (values.DURATION, '0.055', 0.055),
        (values.DURATION, '250 ms', 0.25),
        (values.DURATION, '2min', 120),
        (values.NUMBER, '2.5', 2.5),
        (values.ADDRESS, '127.0.0.1:80', Address('127.0.0.1', 80)),
        (values.ADDRESS, '[::1]:80', Address('::1', 80)),
        (values.NAMES, 'a,\nb', ('a', 'b')),
        (values.DIGESTS, f'sha256:{"0" * 64}', ('0' * 64,)),
        (values.FLAG, 'yes', True),
    ],
)
def test_valid_value_is_parsed(
    parser: values.Parser, text: str, value: object
) -> None:
    assert parser.parse(text) == value


@pytest.mark.parametrize(
    ('parser', 'text'),
    [
        (values.DURATION, '1.2.3'),
        (values.DURATION, '25 h'),
        (values.NUMBER, '-1'),
        (values.NUMBER, '0.0'),
        (values.NUMBER, '1e3'),
        (values.ADDRESS, '127.0.0.1:65536'),
        (values.ADDRESS, '127.0.0.1:'),
        (values.NAMES, 'a, a'),
        (values.METHODS, ''),
        (values.METHODS, 'FETCH'),
        (values.DIGEST, f'sha256:{"A" * 64}'),
        (values.PATH, 'bee'),
        (values.PATH, '/bee claims'),
        (values.TEXT, 'two\nlines'),
        (values.FLAG, 'true'),
        (values.whole_number(at_least=1, at_most=9), '10'),
    ],
)
def test_invalid_value_is_refused(parser: values.Parser, text: str) -> None:
    with pytest.raises(ValueError, match=r'.*'):
        parser.parse(text)
