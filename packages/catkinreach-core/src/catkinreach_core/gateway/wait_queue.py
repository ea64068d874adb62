"""Streams that wait at a node for memory at a decode engine.

Load pattern: a burst fills the memory of all decode engines for some
seconds; streams end all the time, so that a short wait is enough for most.

Streams that lost their engine, or whose prompt was read, go first, then those
that can still be on time, then the more urgent workspaces, then workspaces
that were served less, then the earlier arrival. Only the first one may be
placed, so that a large prompt is not passed over. A stream that would start
after its caller has left is refused at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PEER_SHARE = 0.5
"""Part of the streams waiting at peers that will go first."""


POLL_S = 0.01
"""Mean time between two looks for room, over all nodes with a line."""


def next_poll_s(waiting_peers: int, random_share: float) -> float:
    """Returns the time until a node looks for room again.

    Nodes that look at the same moment take the same room, and engines refuse
    prompts that were read already. So the more peers have a line, the less
    often each of them looks.

    Args:
        waiting_peers: Peers at which streams of the service wait.
        random_share: Random number from 0 to 1.
    """
    return POLL_S * (1 + waiting_peers) * (0.5 + random_share)


class QueueDecision(Enum):
    """What becomes of a stream that finds no room."""

    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(slots=True)
class QueuedStream:
    """One waiting stream.

    Attributes:
        tokens: Memory that it needs.
        priority: Rank; 0 is the most urgent.
        served: Cost that its workspace was served lately.
        arrived_s: When it joined.
        on_time_until_s: Last time at which a start is on time.
        useful_until_s: Last time at which a start finds the caller.
        has_progress: Whether its refusal would lose work: the caller has a part
            of the stream, or its prompt was read.
    """

    tokens: int
    priority: int
    served: float
    arrived_s: float
    on_time_until_s: float
    useful_until_s: float
    has_progress: bool = False

    def rank(self, now_s: float) -> tuple[bool, bool, int, float, float]:
        """Returns the sort key; the smallest goes first."""
        return (
            not self.has_progress,
            now_s > self.on_time_until_s,
            self.priority,
            self.served,
            self.arrived_s,
        )


class WaitQueue:
    """Waiting streams of one service at one node."""

    def __init__(self) -> None:
        """Starts empty."""
        self._tickets: list[QueuedStream] = []

    @property
    def count(self) -> int:
        """Returns the number of waiting streams."""
        return len(self._tickets)

    @property
    def tokens(self) -> int:
        """Returns the memory that all waiting streams need."""
        return sum(ticket.tokens for ticket in self._tickets)

    def add(self, ticket: QueuedStream) -> None:
        """Adds a stream."""
        self._tickets.append(ticket)

    def remove(self, ticket: QueuedStream) -> None:
        """Removes a stream."""
        self._tickets.remove(ticket)

    def is_first(self, ticket: QueuedStream, now_s: float) -> bool:
        """Tells whether a stream is the next one to be placed."""
        first = min(self._tickets, key=lambda one: one.rank(now_s))
        return first is ticket

    def evaluate(
        self,
        ticket: QueuedStream,
        *,
        peer_tokens: float,
        release_per_s: float,
        now_s: float,
    ) -> QueueDecision:
        """Tells whether a stream is worth its wait.

        Args:
            ticket: A stream in the line that can't be placed now.
            peer_tokens: Memory that streams at other nodes wait for.
            release_per_s: Memory that ending streams free each second.
            now_s: Monotonic clock.
        """
        if release_per_s <= 0:
            return QueueDecision.REFUSE
        rank = ticket.rank(now_s)
        ahead = sum(
            one.tokens for one in self._tickets if one.rank(now_s) < rank
        )
        ahead += int(peer_tokens * PEER_SHARE)
        starts_at_s = now_s + (ahead + ticket.tokens) / release_per_s
        if starts_at_s <= ticket.useful_until_s:
            return QueueDecision.WAIT
        return QueueDecision.REFUSE


__all__ = (
    'POLL_S',
    'QueueDecision',
    'QueuedStream',
    'WaitQueue',
    'next_poll_s',
)
