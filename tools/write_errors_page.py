"""Writes ``docs/errors.md`` from the table of error responses."""

from __future__ import annotations

from pathlib import Path

from catkinreach_core.errors_page import render_errors_page

PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'errors.md'

if __name__ == '__main__':
    PAGE.write_text(render_errors_page(), encoding='utf-8')
