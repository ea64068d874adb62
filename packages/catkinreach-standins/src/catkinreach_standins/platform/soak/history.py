"""Records of a run: calls as callers saw them, and disruptions of fronts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from ..builds import ROOT

if TYPE_CHECKING:
    from collections.abc import Collection
    from pathlib import Path

REUSABLE_SHARE: Final = 0.8
"""Share of the idle limit for which callers may leave a connection idle."""


STORE_LINK: Final = 'store'
"""Name of the link to the store."""

LAG_REACH_S: Final = 0.1
"""Time after a lag of the soak's event loop in which it catches up."""


class CallKind(Enum):
    """Route that a call takes; the value is the route's name."""

    READ = 'read'
    ORDER = 'order'
    STREAM = 'stream'
    ONCE = 'once'


class CallEnd(Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    """An upstream's own response reports an error."""

    CONNECT_FAILED = 'unreached'
    NO_RESPONSE = 'broken'
    """The connection ended before the head of a response."""

    INCOMPLETE = 'cut'
    """The connection ended within the response."""

    TIMED_OUT = 'timed-out'
    CANCELLED = 'left'
    """The caller closed the connection."""


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call as its caller saw it.

    Attributes:
        request_id: Id that the caller sent.
        kind: Route of the call.
        front: Number of the front that received the call.
        sent_s: Monotonic time at which the call was sent.
        ended_s: Monotonic time at which the call ended.
        end: How the call ended.
        status: HTTP status; 0 if no response came.
        code: Code of a refusal.
        outcome: Whether the request ran, as a refusal reports it.
        event_ids: Ids of a stream's events in the order of arrival.
        has_partial_event: Whether the stream ended within an event.
        is_crashing: Whether the prompt holds the part that crashes engines.
        body: Body of a response to a plain call; of a stream, the bytes that
            belong to no event.
        prefix: Parts of the prompt, as they were sent.
        idle_s: Time since the caller's last call, for which its connection, if
            it was kept, had been idle.
        build: Checkout that the front's process was started from.
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
    event_ids: tuple[int, ...] = ()
    has_partial_event: bool = False
    is_crashing: bool = False
    body: bytes = b''
    prefix: str = ''
    idle_s: float = 0.0
    build: Path = ROOT


class DisruptionKind(Enum):
    """What disrupted a front process."""

    KILLED = 'killed'
    STOPPING = 'stopping'
    PAUSED = 'paused'


@dataclass(slots=True)
class Disruption:
    """An interval in which a front process couldn't serve as usual.

    Attributes:
        front: Number of the front.
        kind: What disrupted it.
        from_s: Monotonic time of the start.
        until_s: Monotonic time of the end; infinite until then.
    """

    front: int
    kind: DisruptionKind
    from_s: float
    until_s: float


@dataclass(slots=True)
class LinkDisruption:
    """An interval in which a link was faulty.

    Attributes:
        link: Name of the link.
        from_s: Monotonic time of the start.
        until_s: Monotonic time of the end; infinite until then.
    """

    link: str
    from_s: float
    until_s: float


@dataclass(slots=True)
class History:
    """Records of a run.

    Attributes:
        calls: Calls in the order in which they ended.
        disruptions: Disruptions of front processes.
        link_disruptions: Disruptions of links.
        violations: Violations that were found during the run.
        idle_limits: Limits on the idle time of callers' connections in seconds,
            each with the monotonic time from which it may be in force.
        lags: Monotonic times from which the soak's own event loop was held up,
            each with the length in seconds.
    """

    calls: list[CallRecord] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    link_disruptions: list[LinkDisruption] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    idle_limits: list[tuple[float, float]] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)

    def record_idle_limit(self, from_s: float, limit_s: float) -> None:
        """Records a limit before it is published."""
        self.idle_limits.append((from_s, limit_s))

    @property
    def reusable_s(self) -> float:
        """Returns the idle time after which callers may reuse a connection."""
        _, limit_s = self.idle_limits[-1]
        return REUSABLE_SHARE * limit_s

    def duration_s(self, call: CallRecord) -> float:
        """Returns the duration of a call without that of lags."""
        return call.ended_s - call.sent_s - self.lag_s(call)

    def lag_s(self, call: CallRecord) -> float:
        """Returns for how long the caller itself was held up."""
        return sum(
            max(
                0.0,
                min(from_s + lag_s, call.ended_s) - max(from_s, call.sent_s),
            )
            for from_s, lag_s in self.lags
        )

    def _lag_before_s(self, call: CallRecord) -> float:
        """Returns by how much the caller may have noticed its last end late."""
        ended_s = call.sent_s - call.idle_s
        return sum(
            lag_s
            for from_s, lag_s in self.lags
            if from_s <= ended_s <= from_s + lag_s + LAG_REACH_S
        )

    def was_idle_too_long(self, call: CallRecord) -> bool:
        """Returns whether a limit that may be in force lets a front close.

        Any earlier limit may be: faults of the store can delay the newest. A
        caller that is held up sends later than it means to.
        """
        limits_s = [
            limit_s
            for from_s, limit_s in self.idle_limits
            if from_s <= call.ended_s
        ]
        if not limits_s:
            return False
        idle_s = call.idle_s + self.lag_s(call) + self._lag_before_s(call)
        return idle_s > REUSABLE_SHARE * min(limits_s)

    def was_disrupted(self, call: CallRecord, *kinds: DisruptionKind) -> bool:
        """Returns whether a disruption of the call's front overlapped it."""
        return any(
            disruption.front == call.front
            and disruption.kind in kinds
            and disruption.from_s <= call.ended_s
            and disruption.until_s >= call.sent_s
            for disruption in self.disruptions
        )

    def was_link_faulty(self, call: CallRecord, links: Collection[str]) -> bool:
        """Returns whether one of the links was faulty during the call."""
        return any(
            disruption.link in links
            and disruption.from_s <= call.ended_s
            and disruption.until_s >= call.sent_s
            for disruption in self.link_disruptions
        )

    def was_front_disrupted(
        self, front: int, from_s: float, until_s: float
    ) -> bool:
        """Returns whether a front was disrupted in an interval."""
        return any(
            disruption.front == front
            and disruption.from_s <= until_s
            and disruption.until_s >= from_s
            for disruption in self.disruptions
        )

    def was_link_disrupted(
        self, link: str, from_s: float, until_s: float
    ) -> bool:
        """Returns whether a link was faulty in an interval."""
        return any(
            disruption.link == link
            and disruption.from_s <= until_s
            and disruption.until_s >= from_s
            for disruption in self.link_disruptions
        )

    def lag_within_s(self, from_s: float, until_s: float) -> float:
        """Returns the length of the lags that overlap an interval."""
        return sum(
            lag_s
            for lag_from_s, lag_s in self.lags
            if lag_from_s <= until_s and lag_from_s + lag_s >= from_s
        )

    def was_disrupted_before(
        self, front: int, at_s: float, within_s: float
    ) -> bool:
        """Returns whether a front was disrupted in the time before."""
        return any(
            disruption.front == front
            and disruption.from_s <= at_s
            and disruption.until_s >= at_s - within_s
            for disruption in self.disruptions
        )


__all__ = (
    'REUSABLE_SHARE',
    'STORE_LINK',
    'CallEnd',
    'CallKind',
    'CallRecord',
    'Disruption',
    'DisruptionKind',
    'History',
    'LinkDisruption',
)
