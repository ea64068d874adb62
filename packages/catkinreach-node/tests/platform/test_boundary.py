"""Names of the platform's protocols occur only in the adapter."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

PACKAGES = Path(__file__).resolve().parents[3]
SOURCES = sorted(
    path
    for path in PACKAGES.glob('*/src/**/*.py')
    if 'platform' not in path.parent.parts
)
NAMES = re.compile(
    'response-seal|kv-source|kv-handle|kv-range|kv-watch|serving-stage|'
    'cold-remaining|not-executed|expect-instance|op/config|op/evacuate|'
    'op-config|last-event-id|prompt-prefix|CATKINREACH_BOOT',
    re.IGNORECASE,
)
IMPORT = re.compile(r'(from|import) [\w.]*\bplatform\b')


@pytest.mark.parametrize('path', SOURCES, ids=lambda path: path.stem)
def test_platform_names_occur_only_in_the_adapter(path: Path) -> None:
    text = path.read_text(encoding='utf-8')
    assert not NAMES.findall(text)
    assert not IMPORT.findall(text)
