"""Text format of documents that nodes return as JSON."""

from __future__ import annotations

from catkinreach_ctl.commands.node_document import document_text

DOCUMENT = {
    'draining': False,
    'refused': None,
    'lists': [1, 2],
    'cells': {'a': {'pace': 1.23456, 'engines': [{'name': 'x'}]}},
}


def test_nested_document_is_indented() -> None:
    assert document_text(DOCUMENT).splitlines() == [
        'draining  no',
        'refused  -',
        'lists  1, 2',
        'cells',
        '  a',
        '    pace  1.235',
        '    engines',
        '      -',
        '        name  x',
    ]


def test_empty_document_is_explained() -> None:
    assert 'owns nothing' in document_text({})
