"""Variants change single options and keep the rest of the settings."""

from __future__ import annotations

import pytest

from catkinreach_ctl.experiment.variant import SettingChange, Variant

TEXT = '[queue]\nmax_requests = 4\nmax_age_s = 10\n\n[pool a]\nrole = plain\n'


def test_existing_option_is_replaced() -> None:
    changed = SettingChange('queue', 'max_age_s', '3').apply(TEXT)
    assert changed.count('max_age_s') == 1
    assert 'max_age_s = 3\n' in changed
    assert changed.endswith('[pool a]\nrole = plain\n')


def test_same_option_of_another_section_is_kept() -> None:
    changed = SettingChange('queue', 'role', 'x').apply(TEXT)
    assert 'role = x\n' in changed
    assert 'role = plain\n' in changed


def test_missing_section_is_added() -> None:
    changed = SettingChange('fleet', 'max_nodes', '3').apply(TEXT)
    assert changed.endswith('[fleet]\nmax_nodes = 3\n')


@pytest.mark.parametrize(
    ('text', 'line'),
    [
        ('default', ''),
        ('least-load', 'policy = least-load\n'),
        ('short:queue.max_age_s=2', 'max_age_s = 2\n'),
        ('out:failure-domain a.state=out', '[failure-domain a]\nstate = out\n'),
    ],
)
def test_variant_changes_option(text: str, line: str) -> None:
    assert line in Variant.from_text(text).apply(TEXT)


@pytest.mark.parametrize('text', ['x:queue', 'x:queue.a', 'x:a=1'])
def test_malformed_variant_raises(text: str) -> None:
    with pytest.raises(ValueError, match='expected SECTION'):
        Variant.from_text(text)
