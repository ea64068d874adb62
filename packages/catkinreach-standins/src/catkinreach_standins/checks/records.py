"""Typed records of a run: callers, upstreams and nodes.

All times are seconds of the machine's monotonic clock, which every process
of a bench shares.
"""

from __future__ import annotations

import math
from enum import Enum

import msgspec


class CallKind(Enum):
    """What a caller asked for."""

    MODEL = 'model'
    ORDER = 'order'
    PLAIN = 'plain'


class CallEnd(Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    """A whole answer came, a refusal included."""

    INTERRUPTED = 'broken'
    """The connection broke, or an answer said that it broke off."""

    CANCELLED = 'cancelled'
    """The caller left by itself."""


class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One call as its caller saw it.

    Attributes:
        kind: What was asked for.
        workspace: Workspace whose key was shown; empty without a key.
        sent_s: Time before the first byte was sent.
        ended_s: Time after the last byte came, or the call broke off.
        end: How it ended.
        status: HTTP status; 0 if none came.
        code: Code of a refusal.
        outcome: What a refusal says about execution.
        key: Idempotency key of an order.
        prompt: Prompt of a model call.
        max_tokens: Length asked for.
        text: Text of the answer as far as it came.
        request_id: The node's id of the request; empty if none came.
        served_workspace: Workspace that a plain answer names.
        extra_bytes: Bytes that came after the end of the answer.
        first_token_s: Time of the first token; 0 if none came.
    """

    kind: CallKind
    workspace: str
    sent_s: float
    ended_s: float
    end: CallEnd = CallEnd.ANSWERED
    status: int = 0
    code: str = ''
    outcome: str = ''
    key: str = ''
    prompt: tuple[int, ...] = ()
    max_tokens: int = 0
    text: str = ''
    request_id: str = ''
    served_workspace: str = ''
    extra_bytes: int = 0
    first_token_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Tells whether a whole answer of the service came."""
        return self.end is CallEnd.ANSWERED and self.status == 200  # noqa: PLR2004


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """One execution in a plain upstream's record."""

    workspace: str
    key: str
    path: str = ''
    at_s: float = 0.0


class EngineStep(msgspec.Struct, frozen=True, kw_only=True):
    """One step in an engine's record."""

    upstream: str
    request_id: str
    kind: str
    at_s: float


class HoldingSample(msgspec.Struct, frozen=True, kw_only=True):
    """Engine memory seen held at a moment."""

    upstream: str
    request_id: str
    at_s: float


class RevisionSample(msgspec.Struct, frozen=True, kw_only=True):
    """Revision that one life of a node said to have in force."""

    vm_id: str
    incarnation: str
    revision: int
    at_s: float


class QueueSample(msgspec.Struct, frozen=True, kw_only=True):
    """Queue of one cell at a moment."""

    cell: str
    at_s: float
    requests: int
    tokens: int = 0
    oldest_age_s: float = 0.0


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """One breach of what must always hold.

    Attributes:
        rule: Name of the check.
        subject: Request, key, workspace, upstream or node concerned.
        detail: What was seen.
        at_s: When it was seen, if that is known.
    """

    rule: str
    subject: str
    detail: str
    at_s: float = math.nan

    def __str__(self) -> str:
        """Returns one line for people."""
        return f'{self.rule}: {self.subject}: {self.detail}'


__all__ = (
    'CallEnd',
    'CallKind',
    'CallRecord',
    'EngineStep',
    'Execution',
    'HoldingSample',
    'QueueSample',
    'RevisionSample',
    'Violation',
)
