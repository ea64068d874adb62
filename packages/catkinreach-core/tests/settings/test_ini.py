"""Tests of the INI reader."""

from __future__ import annotations

import pytest

from catkinreach_core.settings.faults import FaultList, SettingsError
from catkinreach_core.settings.ini import MAX_SYNTAX_FAULTS, read_document


def test_lines_count_from_the_start_of_the_text() -> None:
    faults = FaultList(source='text')
    document = read_document(
        '\ufeff# comment\n\n[pool  a]  # comment\n'
        'role = x ; comment\nmodel = one,\n  two\n',
        faults=faults,
    )
    (section,) = document.of_kind('pool')
    assert not len(faults)
    assert (section.title, section.line) == ('pool a', 3)
    assert section.options['role'].text == 'x'
    assert section.options['model'].text == 'one,\ntwo'
    assert section.line_of('model') == 5
    assert section.line_of('version') == 3


def test_section_with_many_syntax_errors_is_skipped() -> None:
    faults = FaultList(source='text')
    read_document('[pool a]\n' + 'x\n' * 100 + '[pool b]\ny\n', faults=faults)
    with pytest.raises(SettingsError) as caught:
        faults.raise_if_any()
    lines = [fault.line for fault in caught.value.faults]
    assert lines == [1, *range(2, MAX_SYNTAX_FAULTS + 2), 103]
