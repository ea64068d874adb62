"""Settings files, whatever is in them."""

from __future__ import annotations

import math
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ranges import MAX_PORT
from catkinreach_node.platform.boot import BootFile, read_settings
from catkinreach_standins.fakes.fuzz_inputs import (
    ODD_TEXTS,
    damaged_bytes,
    fuzz_settings,
    stored_inputs,
)

CORPUS = Path(__file__).parent / 'corpus' / 'boot'
METRICS_PORT = 9464
VALID = stored_inputs(CORPUS)['valid'].decode()
LINES = VALID.splitlines()
VALUES = (*ODD_TEXTS, 'nan', 'inf', '-inf', '1e999', '-1', '0', '1_0', '1e308')


@st.composite
def _damaged_lines(draw: st.DrawFn) -> str:
    """Returns the settings with some values replaced, or lines missing."""
    lines = list(LINES)
    for _ in range(draw(st.integers(1, 3))):
        place = draw(st.integers(0, len(lines) - 1))
        name = lines[place].partition('=')[0]
        value = draw(st.sampled_from(VALUES) | st.text(max_size=8))
        lines[place] = draw(st.sampled_from(('', f'{name}={value}')))
    return '\n'.join(lines)


TEXTS = st.one_of(
    _damaged_lines(),
    damaged_bytes(VALID.encode()).map(lambda data: data.decode('latin-1')),
    st.text(max_size=60),
)


def _check(text: str) -> None:
    try:
        settings = read_settings(text, METRICS_PORT)
    except CatkinreachError as error:
        if error.kind is not ErrorKind.SETTINGS_INVALID:
            raise
        return
    addresses = (
        settings.caller_address,
        settings.ready_address,
        settings.peer_address,
        settings.metrics_address,
        settings.store_address,
    )
    assert all(0 < address.port <= MAX_PORT for address in addresses)
    bounds = settings.bounds
    numbers = (
        bounds.stop_grace_s,
        bounds.apply_within_s,
        bounds.repeat_ratio,
        bounds.repeat_slack,
        bounds.repeat_window_s,
        bounds.quota_window_s,
        bounds.quota_excess_ratio,
        bounds.quota_slack,
        settings.memory_bytes,
    )
    assert all(0 <= number < math.inf for number in numbers)
    assert settings.link_bytes_per_s > 0


@fuzz_settings()
@given(text=TEXTS)
@example(text=VALID.replace('memory-mb=150', 'memory-mb=inf'))
def test_odd_settings_raise_or_are_out_of_range(text: str) -> None:
    _check(text)


@pytest.mark.parametrize('name', stored_inputs(CORPUS))
def test_stored_settings_fail_again(name: str) -> None:
    _check(stored_inputs(CORPUS)[name].decode())


def test_file_that_is_no_text_raises_another_error(tmp_path: Path) -> None:
    path = tmp_path / 'boot'
    path.write_bytes(b'\xff\xfe\x00')
    with pytest.raises(CatkinreachError):
        BootFile(path).read(METRICS_PORT)
