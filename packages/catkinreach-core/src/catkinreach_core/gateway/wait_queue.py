"""Queue of streams that wait at a node for memory of a decode engine.

Load pattern: a burst fills the memory of all decode engines for some
seconds; streams end all the time, so that a short wait is enough for most.

Streams that lost their engine, or whose prompt is prefilled, go first, then
those that can still meet the latency target, then those of higher priority,
then those of workspaces with less admitted cost, then the earlier arrival. Only
the head of the queue may be placed, so that small prompts don't starve a large
one; streams that must go on at a software version have a head of their own, and
the others leave them the memory of its engines. A stream that would start after
its caller has left is refused at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .fleet_priority import LATE_RANK, LEAST_URGENT, MOST_URGENT, sum_ranks

if TYPE_CHECKING:
    from ..ids import SoftwareVersion

PEERS_AHEAD_RATIO = 0.5
"""Fraction of the peers' queued streams that is assumed to go first."""

POLL_S = 0.01
"""Mean time between two polls, over all nodes with queued streams."""


def next_poll_s(waiting_peers: int, random_fraction: float) -> float:
    """Returns the time until a node polls for free memory again.

    Nodes that poll at the same moment reserve the same free memory, and engines
    then refuse streams whose prompts are already prefilled. So the more peers
    have queued streams, the less often each of them polls.

    Args:
        waiting_peers: Peers with queued streams of the service.
        random_fraction: Random number from 0 to 1.
    """
    return POLL_S * (1 + waiting_peers) * (0.5 + random_fraction)


class QueueDecision(Enum):
    """Decision on a stream that no engine has memory for."""

    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(slots=True)
class QueuedStream:
    """A stream in the wait queue.

    Attributes:
        tokens: Memory that it needs, in tokens of KV cache.
        priority: Urgency; 0 is the most urgent.
        workspace_cost: Cost recently admitted for its workspace.
        arrived_s: Time at which it was queued.
        on_time_until_s: Latest start that meets the latency target.
        useful_until_s: Latest start before the caller leaves.
        has_progress: Whether its refusal would lose work: the caller has a part
            of the stream, or its prompt is prefilled.
        version: Software version that it must go on at; ``None`` for any.
    """

    tokens: int
    priority: int
    workspace_cost: float
    arrived_s: float
    on_time_until_s: float
    useful_until_s: float
    has_progress: bool = False
    version: SoftwareVersion | None = None

    def fleet_rank(self, now_s: float) -> int:
        """Returns the rank among the streams that wait at all nodes."""
        if self.has_progress:
            return MOST_URGENT
        if now_s > self.on_time_until_s:
            return LATE_RANK
        return min(self.priority, LEAST_URGENT)

    def rank(self, now_s: float) -> tuple[bool, bool, int, float, float]:
        """Returns the sort key; the smallest goes first."""
        return (
            not self.has_progress,
            now_s > self.on_time_until_s,
            self.priority,
            self.workspace_cost,
            self.arrived_s,
        )


class WaitQueue:
    """Queued streams of one service at one node."""

    def __init__(self) -> None:
        """Starts empty."""
        self._streams: list[QueuedStream] = []

    @property
    def count(self) -> int:
        """Returns the number of queued streams."""
        return len(self._streams)

    @property
    def tokens(self) -> int:
        """Returns the memory that all queued streams need."""
        return sum(stream.tokens for stream in self._streams)

    def tokens_by_rank(self, now_s: float) -> dict[int, int]:
        """Returns the memory that the queued streams need, by rank."""
        return sum_ranks(
            {stream.fleet_rank(now_s): stream.tokens}
            for stream in self._streams
        )

    def add(self, stream: QueuedStream) -> None:
        """Adds a stream."""
        self._streams.append(stream)

    def remove(self, stream: QueuedStream) -> None:
        """Removes a stream."""
        self._streams.remove(stream)

    def is_first(self, stream: QueuedStream, now_s: float) -> bool:
        """Returns whether a stream is the first that needs its version."""
        first = min(
            (one for one in self._streams if one.version == stream.version),
            key=lambda queued: queued.rank(now_s),
        )
        return first is stream

    def pinned_versions(self) -> frozenset[SoftwareVersion]:
        """Returns the versions that queued streams must go on at."""
        return frozenset(
            stream.version
            for stream in self._streams
            if stream.version is not None
        )

    def evaluate(
        self,
        stream: QueuedStream,
        *,
        peer_tokens: float,
        release_per_s: float,
        now_s: float,
        more_urgent_tokens: int = 0,
    ) -> QueueDecision:
        """Decides whether a stream keeps waiting or is refused.

        Args:
            stream: A queued stream that can't be placed now.
            peer_tokens: Memory that queued streams at other nodes need.
            release_per_s: Memory that ending streams free per second, of all
                engines of the service.
            now_s: Monotonic clock.
            more_urgent_tokens: Memory that streams at other nodes need which
                surely go first; not part of ``peer_tokens``.
        """
        if release_per_s <= 0:
            return QueueDecision.REFUSE
        rank = stream.rank(now_s)
        ahead = sum(
            queued.tokens
            for queued in self._streams
            if queued.rank(now_s) < rank
            and stream.version in {None, queued.version}
        )
        ahead += int(peer_tokens * PEERS_AHEAD_RATIO) + more_urgent_tokens
        starts_at_s = now_s + (ahead + stream.tokens) / release_per_s
        if starts_at_s <= stream.useful_until_s:
            return QueueDecision.WAIT
        return QueueDecision.REFUSE


__all__ = (
    'POLL_S',
    'QueueDecision',
    'QueuedStream',
    'WaitQueue',
    'next_poll_s',
)
