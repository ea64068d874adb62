"""Names the cause of a request's end from its lines and the node's beliefs."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .request_history import RequestHistory


class Cause(Enum):
    """Why a request ended as it did; the value is told to people."""

    SERVED = 'it was served'
    CALLER_LEFT = 'the caller closed the connection'
    STALE_VIEW = "the node's view of the deployment was out of date"
    UPSTREAM_LOST = 'an upstream was lost or silent'
    UPSTREAM_FAILED = 'an upstream answered with a failure'
    NO_ROOM = 'the load left no room in time'
    WORKSPACE_LIMIT = "the workspace's limit was used up"
    NOT_ALLOWED = 'the request is not one that the configuration allows'
    NOT_CONFIGURED = 'the node knew no configuration yet'
    STOPPING = 'the process was stopping'
    UNFINISHED = 'the log ends before the request does'
    OTHER = 'none of the known causes'


_BY_END: Final = {
    'answered': Cause.SERVED,
    'caller-left': Cause.CALLER_LEFT,
}
_BY_CODE: Final = {
    'no-upstream': Cause.NO_ROOM,
    'queue-timeout': Cause.NO_ROOM,
    'queue-full': Cause.NO_ROOM,
    'deadline-unreachable': Cause.NO_ROOM,
    'rate-limited': Cause.WORKSPACE_LIMIT,
    'config-missing': Cause.NOT_CONFIGURED,
    'draining': Cause.STOPPING,
    'bad-request': Cause.NOT_ALLOWED,
    'key-missing': Cause.NOT_ALLOWED,
    'key-refused': Cause.NOT_ALLOWED,
    'method-refused': Cause.NOT_ALLOWED,
    'route-unknown': Cause.NOT_ALLOWED,
    'too-large': Cause.NOT_ALLOWED,
    'too-slow': Cause.NOT_ALLOWED,
    'request-quarantined': Cause.UPSTREAM_LOST,
}
_OUTDATED_CODES: Final = frozenset(
    {'key-refused', 'no-upstream', 'route-unknown'}
)
_OUTDATED_SENDS: Final = frozenset({'unreachable', 'prefill-unreachable'})
_LOST_SENDS: Final = frozenset(
    {
        'broken',
        'silent',
        'unreachable',
        'prefill-broken',
        'prefill-silent',
        'prefill-unreachable',
    }
)
_MISDIRECTED: Final = 421


def cause_of(history: RequestHistory) -> Cause:
    """Returns the cause; what explains most goes first."""
    end = history.end
    if end is None:
        return Cause.UNFINISHED
    if end.event in _BY_END:
        return _BY_END[end.event]
    if _is_outdated(history, end.text('code')):
        return Cause.STALE_VIEW
    reasons = {line.text('reason') for line in history.failed_sends}
    if reasons & _LOST_SENDS:
        return Cause.UPSTREAM_LOST
    if 'failed' in reasons:
        return Cause.UPSTREAM_FAILED
    if 'refused' in reasons:
        return Cause.NO_ROOM
    return _BY_CODE.get(end.text('code'), Cause.OTHER)


def _is_outdated(history: RequestHistory, code: str) -> bool:
    """Tells whether the node sent or refused by what no longer held."""
    if any(
        line.fields.get('status') == _MISDIRECTED
        for line in history.failed_sends
    ):
        return True
    is_suspicious = code in _OUTDATED_CODES or any(
        line.text('reason') in _OUTDATED_SENDS for line in history.failed_sends
    )
    return history.store_lost is not None and is_suspicious


__all__ = ('Cause', 'cause_of')
