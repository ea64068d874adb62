"""Texts of documents that are sent on in the head of a request."""

from __future__ import annotations

import re
from typing import Final

_MAX_CHARS: Final = 256
_TARGET_PART: Final = re.compile(f'[!-~]{{1,{_MAX_CHARS}}}')


def is_target_part(text: str) -> bool:
    """Returns whether a text may be sent as a part of a request's target."""
    return _TARGET_PART.fullmatch(text) is not None


__all__ = ('is_target_part',)
