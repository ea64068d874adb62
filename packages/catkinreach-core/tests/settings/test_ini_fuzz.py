"""Settings of operators, damaged in their values, lines and bytes."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import json

from catkinreach_core.ids import Revision
from catkinreach_core.settings import SettingsError, load_fleet, load_node
from catkinreach_standins.fakes.fuzz_inputs import (
    ODD_TEXTS,
    damaged_bytes,
    fuzz_settings,
    stored_inputs,
)

CORPUS = Path(__file__).parent / 'corpus' / 'ini'
EXAMPLE = Path(__file__).parents[4] / 'examples' / 'ninepatch'
FLEET = (EXAMPLE / 'fleet.ini').read_text('utf-8')
NODE = (EXAMPLE / 'vm-1.ini').read_text('utf-8')
VALUES = (
    *ODD_TEXTS,
    'nan',
    'inf',
    '1e999',
    '-1',
    '0',
    '9' * 20,
    '1.2.3 s',
    '.',
    '1..2 h',
    '\u0663 s',
    'a, a',
    ',,',
    '%(x)s',
    '[::1]:1',
    '[fe80::1%a b]:1',
    'sha256:' + 'G' * 64,
)


@st.composite
def _damaged_settings(draw: st.DrawFn, text: str) -> str:
    """Returns settings with odd values, and lines left out or repeated."""
    lines = text.splitlines()
    for _ in range(draw(st.integers(1, 3))):
        place = draw(st.integers(0, len(lines) - 1))
        option = lines[place].partition('=')[0]
        value = draw(st.sampled_from(VALUES) | st.text(max_size=8))
        lines[place] = draw(
            st.sampled_from(
                ('', f'{option}= {value}', f'{lines[place]}\n{lines[place]}')
            )
        )
    return '\n'.join(lines)


def _texts(text: str) -> st.SearchStrategy[str]:
    return st.one_of(
        _damaged_settings(text),
        damaged_bytes(text.encode()).map(lambda data: data.decode('latin-1')),
    )


def _check_fleet(text: str) -> None:
    try:
        fleet = load_fleet(text, revision=Revision(1), source='fleet.ini')
    except SettingsError as error:
        assert all(map(str, error.faults))  # noqa: PT017
        return
    # NaN and infinite numbers become null, which the types refuse.
    document = json.encode(fleet)
    assert json.decode(document, type=type(fleet)) == fleet


def _check_node(text: str) -> None:
    try:
        node = load_node(text, source='vm.ini')
    except SettingsError as error:
        assert all(map(str, error.faults))  # noqa: PT017
        return
    assert json.decode(json.encode(node), type=type(node)) == node


@fuzz_settings()
@given(text=_texts(FLEET))
def test_odd_fleet_settings_raise_or_are_out_of_range(text: str) -> None:
    _check_fleet(text)


@fuzz_settings()
@given(text=_texts(NODE))
def test_odd_node_settings_raise_or_are_out_of_range(text: str) -> None:
    _check_node(text)


@pytest.mark.parametrize('name', stored_inputs(CORPUS))
def test_stored_settings_raise_another_error_again(name: str) -> None:
    text = stored_inputs(CORPUS)[name].decode()
    _check_fleet(text)
    _check_node(text)
    _check_fleet(FLEET + text)
    _check_node(NODE + text)
