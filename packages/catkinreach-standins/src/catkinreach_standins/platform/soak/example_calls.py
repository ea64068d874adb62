"""Records of calls of a soak, each with an allowed outcome."""

from __future__ import annotations

from dataclasses import replace

from ..upstream import EVENT_COUNT
from .history import CallEnd, CallKind, CallRecord

WHOLE = tuple(range(1, EVENT_COUNT + 1))
EXPLAINED = (
    '{"event":"refused","request":"r"}\n{"event":"unanswered","request":"r"}\n'
)
"""Log of a front that explains a refusal or a cut of these calls."""

READ = CallRecord(
    request_id='r',
    kind=CallKind.READ,
    front=0,
    sent_s=10.0,
    ended_s=10.1,
    end=CallEnd.ANSWERED,
    status=200,
    body=b'a ran r',
)
ORDER = replace(READ, kind=CallKind.ORDER)
STREAM = replace(READ, kind=CallKind.STREAM, event_ids=WHOLE, body=b'')
CUT_STREAM = replace(STREAM, end=CallEnd.INCOMPLETE, event_ids=WHOLE[:3])
REFUSED = replace(
    READ, end=CallEnd.REFUSED, status=503, code='busy', outcome='not-run'
)

__all__ = (
    'CUT_STREAM',
    'EXPLAINED',
    'ORDER',
    'READ',
    'REFUSED',
    'STREAM',
    'WHOLE',
)
