"""Types of the records of callers, upstreams and nodes.

All times are seconds of the machine's monotonic clock, which all processes of
a deployment share.
"""

from __future__ import annotations

import math
from enum import Enum

import msgspec


class CallKind(Enum):
    """Kind of the request of a call."""

    MODEL = 'model'
    ORDER = 'order'
    PLAIN = 'plain'


class CallEnd(Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    """A complete answer arrived, which may be a refusal."""

    INTERRUPTED = 'broken'
    """The connection was lost, or the answer ended with an error event."""

    CANCELLED = 'cancelled'
    """The caller ended the call."""


class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A call as recorded by its caller.

    Attributes:
        kind: Kind of the request.
        workspace: Workspace of the API key; empty without a key.
        sent_s: Time before the first byte was sent.
        ended_s: Time after the last byte arrived, or the call was interrupted.
        end: How the call ended.
        status: HTTP status; 0 if none arrived.
        code: Code of a refusal.
        outcome: Whether the request ran, as a refusal reports it.
        key: Idempotency key of an order.
        prompt: Prompt of a model call.
        max_tokens: Requested length of the answer.
        text: Text of the answer that arrived.
        request_id: Id that the node gave the request; empty if none arrived.
        served_workspace: Workspace that the answer of a plain upstream names.
        extra_bytes: Number of bytes after the end of the answer.
        first_token_s: Time of the first token; 0 if none arrived.
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
        """Returns whether a complete answer with status 200 arrived."""
        return self.end is CallEnd.ANSWERED and self.status == 200  # noqa: PLR2004


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """An execution of a request, from the record of a plain upstream."""

    workspace: str
    key: str
    path: str = ''
    at_s: float = 0.0


class EngineStep(msgspec.Struct, frozen=True, kw_only=True):
    """A step of a request, from the record of an upstream."""

    upstream: str
    request_id: str
    kind: str
    at_s: float


class HoldingSample(msgspec.Struct, frozen=True, kw_only=True):
    """KV cache that an engine held for a request at one time."""

    upstream: str
    request_id: str
    at_s: float


class RevisionSample(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration revision that a node reported as in force."""

    vm_id: str
    incarnation: str
    revision: int
    at_s: float


class QueueSample(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a cell's wait queue at one time."""

    cell: str
    at_s: float
    requests: int
    tokens: int = 0
    oldest_age_s: float = 0.0


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """Violation of an invariant.

    Attributes:
        rule: Name of the check.
        subject: Request, key, workspace, upstream or node concerned.
        detail: Description of the observation.
        at_s: Time of the observation; NaN if unknown.
    """

    rule: str
    subject: str
    detail: str
    at_s: float = math.nan

    def __str__(self) -> str:
        """Returns a one-line description."""
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
