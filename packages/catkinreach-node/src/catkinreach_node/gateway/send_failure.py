"""Why a send to an upstream failed."""

from __future__ import annotations

from enum import Enum


class SendFailure(Enum):
    """Reasons for a failed send to an upstream."""

    UNREACHABLE = 'unreachable'
    CLOSED = 'closed-to-requests'
    BROKEN = 'broken'
    SILENT = 'silent'
    REFUSED = 'refused'
    FAILED = 'failed'
    PREFILL_UNREACHABLE = 'prefill-unreachable'
    PREFILL_BROKEN = 'prefill-broken'
    PREFILL_SILENT = 'prefill-silent'
    PREFILL_REFUSED = 'prefill-refused'


__all__ = ('SendFailure',)
