"""The committed ``docs/errors.md`` matches the generated page."""

from __future__ import annotations

from pathlib import Path

from catkinreach_core.errors_page import render_errors_page

PAGE = Path(__file__).resolve().parents[3] / 'docs' / 'errors.md'


def test_committed_page_is_current() -> None:
    assert PAGE.read_text(encoding='utf-8') == render_errors_page()
