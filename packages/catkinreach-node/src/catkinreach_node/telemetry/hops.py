"""Hops of a request, as named in traces and metrics."""

from __future__ import annotations

from enum import Enum


class Hop(Enum):
    """Stage of a request that is measured and traced."""

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
