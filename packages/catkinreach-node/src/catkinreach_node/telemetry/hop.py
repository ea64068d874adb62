"""Names of the parts of a request's way."""

from __future__ import annotations

from enum import Enum


class Hop(Enum):
    """Parts of a request's way that are timed and traced."""

    ACCEPT = 'accept'
    LIMIT = 'limit'
    QUEUE = 'queue'
    PREFILL = 'prefill'
    TRANSFER = 'transfer'
    DECODE = 'decode'
    PLAIN = 'plain'
    ORDER = 'order'
    PEER = 'peer'


__all__ = ('Hop',)
