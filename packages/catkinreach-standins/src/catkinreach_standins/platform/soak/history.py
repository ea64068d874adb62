"""What a run records: calls as callers saw them, and troubles of fronts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """Routes that callers use; the value is the route's name."""

    READ = 'read'
    ORDER = 'order'
    STREAM = 'stream'
    ONCE = 'once'


class CallEnd(Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    """An upstream's own answer, which is no success."""

    UNREACHED = 'unreached'
    BROKEN = 'broken'
    """The connection ended before the head of an answer."""

    CUT = 'cut'
    """The connection ended in the middle of an answer."""

    TIMED_OUT = 'timed-out'
    LEFT = 'left'
    """The caller closed the connection."""


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call.

    Attributes:
        request_id: Its id.
        kind: Its route.
        front: Number of the front that it was sent to.
        sent_s: Monotonic time at which it was sent.
        ended_s: Monotonic time at which it ended.
        end: How it ended.
        status: Status of the answer or refusal.
        code: Code of a refusal.
        outcome: What a refusal says about execution.
        events: Numbers of the events of a stream, as they came.
        has_torn_event: Whether a stream ended within an event.
    """

    request_id: str
    kind: CallKind
    front: int
    sent_s: float
    ended_s: float
    end: CallEnd
    status: int = 0
    code: str = ''
    outcome: str = ''
    events: tuple[int, ...] = ()
    has_torn_event: bool = False


class TroubleKind(Enum):
    """What was done to a front process."""

    KILLED = 'killed'
    STOPPING = 'stopping'
    PAUSED = 'paused'


@dataclass(slots=True)
class Trouble:
    """A time in which a front process couldn't serve as usual."""

    front: int
    kind: TroubleKind
    from_s: float
    until_s: float


@dataclass(slots=True)
class History:
    """The records of one run.

    Attributes:
        calls: Calls in the order of their ends.
        troubles: What was done to front processes.
        violations: Violations that were seen while it ran.
    """

    calls: list[CallRecord] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def had(self, call: CallRecord, *kinds: TroubleKind) -> bool:
        """Tells whether the call's front had such a trouble during it."""
        return any(
            trouble.front == call.front
            and trouble.kind in kinds
            and trouble.from_s <= call.ended_s
            and trouble.until_s >= call.sent_s
            for trouble in self.troubles
        )


__all__ = (
    'CallEnd',
    'CallKind',
    'CallRecord',
    'History',
    'Trouble',
    'TroubleKind',
)
