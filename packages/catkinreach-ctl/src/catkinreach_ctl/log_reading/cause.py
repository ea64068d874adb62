"""Classifies why a request ended, from the log of the node that served it.

The classification uses the log lines of the request and the state of the node
at that time: its configuration, its store connection and its upstreams.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .request_history import RequestHistory


class Cause(Enum):
    """Why a request ended; ``catkinreach explain`` prints the value."""

    SERVED = 'it was served'
    CALLER_LEFT = 'the caller closed the connection'
    STALE_VIEW = "the node's view of the deployment was out of date"
    UPSTREAM_LOST = 'an upstream was lost or silent'
    UPSTREAM_FAILED = 'an upstream answered with a failure'
    UPSTREAM_LEAVING = 'upstreams said that they leave'
    UPSTREAM_PAUSED = 'upstreams asked for a pause'
    NO_CAPACITY = 'the load left no room in time'
    WORKSPACE_LIMIT = "the workspace's limit was used up"
    NOT_ALLOWED = 'the request is not one that the configuration allows'
    NOT_CONFIGURED = 'the node knew no configuration yet'
    STOPPING = 'the process was stopping'
    UNFINISHED = 'the log ends before the request does'
    OTHER = 'none of the known causes'


_CAUSE_BY_END_EVENT: Final = {
    'answered': Cause.SERVED,
    'caller-left': Cause.CALLER_LEFT,
}
_CAUSE_BY_CODE: Final = {
    'no-upstream': Cause.NO_CAPACITY,
    'queue-timeout': Cause.NO_CAPACITY,
    'queue-full': Cause.NO_CAPACITY,
    'deadline-unreachable': Cause.NO_CAPACITY,
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
_CAUSE_BY_CONNECTION_END: Final = {
    'client-closed': Cause.CALLER_LEFT,
    'client-reset': Cause.CALLER_LEFT,
    'client-stalled': Cause.CALLER_LEFT,
    'gave-way': Cause.CALLER_LEFT,
    'stopped': Cause.STOPPING,
}
_STALE_VIEW_CODES: Final = frozenset(
    {'key-refused', 'no-upstream', 'route-unknown'}
)
_STALE_VIEW_SEND_REASONS: Final = frozenset(
    {'unreachable', 'prefill-unreachable'}
)
_UPSTREAM_LOST_SEND_REASONS: Final = frozenset(
    {
        'broken',
        'silent',
        'unreachable',
        'prefill-broken',
        'prefill-silent',
        'prefill-unreachable',
    }
)
_UNAVAILABLE_SEND_REASONS: Final = frozenset({'closed-to-requests', 'refused'})
_CAUSE_BY_UPSTREAM_EVENT: Final = {
    'upstream-leaving': Cause.UPSTREAM_LEAVING,
    'upstream-paused': Cause.UPSTREAM_PAUSED,
}
_HTTP_MISDIRECTED_REQUEST: Final = 421


def cause_of(history: RequestHistory) -> Cause:
    """Returns the cause of a request's end.

    The order of the checks is the order of precedence: what all upstreams said
    of themselves explains a refusal whatever the store says, a stale view of
    the deployment explains failed sends, and a failed send explains the code
    that the caller received.
    """
    end = history.end
    if end is None:
        return Cause.UNFINISHED
    cause = _CAUSE_BY_END_EVENT.get(end.event) or _CAUSE_BY_CONNECTION_END.get(
        end.text('code')
    )
    if cause is not None:
        return cause
    unavailable = history.unavailable
    if unavailable is not None:
        is_paused = bool(unavailable.fields.get('paused'))
        return Cause.UPSTREAM_PAUSED if is_paused else Cause.UPSTREAM_LEAVING
    if _had_stale_view(history, end.text('code')):
        return Cause.STALE_VIEW
    reasons = {line.text('reason') for line in history.failed_sends}
    if reasons & _UPSTREAM_LOST_SEND_REASONS:
        return Cause.UPSTREAM_LOST
    if 'failed' in reasons:
        return Cause.UPSTREAM_FAILED
    if reasons & _UNAVAILABLE_SEND_REASONS:
        return _cause_of_unavailable(history)
    return _CAUSE_BY_CODE.get(end.text('code'), Cause.OTHER)


def _cause_of_unavailable(history: RequestHistory) -> Cause:
    """Returns why the last upstream that refused took no request."""
    refusals = [
        line
        for line in history.failed_sends
        if line.text('reason') in _UNAVAILABLE_SEND_REASONS
    ]
    last_line = history.upstreams.get(refusals[-1].text('upstream'))
    event = '' if last_line is None else last_line.event
    return _CAUSE_BY_UPSTREAM_EVENT.get(event, Cause.NO_CAPACITY)


def _had_stale_view(history: RequestHistory, code: str) -> bool:
    """Returns whether the node acted on an outdated view of the deployment.

    An upstream that answers 421 is not the one that the node addressed. While
    the store is lost, an unreachable upstream or an unknown key, route or
    upstream may also be due to updates that the node has not received.
    """
    if any(
        line.fields.get('status') == _HTTP_MISDIRECTED_REQUEST
        for line in history.failed_sends
    ):
        return True
    may_be_stale = code in _STALE_VIEW_CODES or any(
        line.text('reason') in _STALE_VIEW_SEND_REASONS
        for line in history.failed_sends
    )
    return history.store_lost is not None and may_be_stale


__all__ = ('Cause', 'cause_of')
