"""Streams that wait at a node for memory at a decode engine.

Load pattern: a burst fills the memory of all decode engines for some
seconds; streams end all the time, so that a short wait is enough for most.

Waiting streams that can still be on time go first, then the more urgent
workspaces, then workspaces that were served less, then the earlier arrival.
Only the first one may be placed, so that a large prompt is not passed over.
A stream that would wait too long is refused at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_LATE_WAIT_S = 2.5
"""Longest predicted wait of a stream that can't be on time any more."""

MAX_WAIT_S = 4.0
"""Longest wait of a stream whose prediction proved wrong."""


class Verdict(Enum):
    """What becomes of a stream that finds no room."""

    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(slots=True)
class Ticket:
    """One waiting stream.

    Attributes:
        tokens: Memory that it needs.
        priority: Rank; 0 is the most urgent.
        served: Cost that its workspace was served lately.
        arrived_s: When it joined.
        on_time_until_s: Last time at which a start is on time.
    """

    tokens: int
    priority: int
    served: float
    arrived_s: float
    on_time_until_s: float

    def rank(self, now_s: float) -> tuple[bool, int, float, float]:
        """Returns the sort key; the smallest goes first."""
        is_late = now_s > self.on_time_until_s
        return is_late, self.priority, self.served, self.arrived_s


class WaitLine:
    """Waiting streams of one service at one node."""

    def __init__(self) -> None:
        """Starts empty."""
        self._tickets: list[Ticket] = []

    @property
    def count(self) -> int:
        """Returns the number of waiting streams."""
        return len(self._tickets)

    @property
    def tokens(self) -> int:
        """Returns the memory that all waiting streams need."""
        return sum(ticket.tokens for ticket in self._tickets)

    def join(self, ticket: Ticket) -> None:
        """Adds a stream."""
        self._tickets.append(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Removes a stream."""
        self._tickets.remove(ticket)

    def is_first(self, ticket: Ticket, now_s: float) -> bool:
        """Tells whether a stream is the next one to be placed."""
        first = min(self._tickets, key=lambda one: one.rank(now_s))
        return first is ticket

    def judge(
        self,
        ticket: Ticket,
        *,
        peer_tokens: float,
        release_per_s: float,
        now_s: float,
    ) -> Verdict:
        """Tells whether a stream is worth its wait.

        Args:
            ticket: A stream in the line that can't be placed now.
            peer_tokens: Memory that streams at other nodes wait for.
            release_per_s: Memory that ending streams free each second.
            now_s: Monotonic clock.
        """
        if release_per_s <= 0 or now_s - ticket.arrived_s > MAX_WAIT_S:
            return Verdict.REFUSE
        rank = ticket.rank(now_s)
        ahead = sum(
            one.tokens for one in self._tickets if one.rank(now_s) < rank
        )
        wait_s = (ahead + peer_tokens + ticket.tokens) / release_per_s
        is_on_time = now_s + wait_s <= ticket.on_time_until_s
        if is_on_time or wait_s <= MAX_LATE_WAIT_S:
            return Verdict.WAIT
        return Verdict.REFUSE


__all__ = ('MAX_LATE_WAIT_S', 'MAX_WAIT_S', 'Ticket', 'Verdict', 'WaitLine')
