"""How a stand-in of an upstream leaves, asks for a pause or names a limit.

It records which request it told so, and which requests arrived, so that a
check can compare both.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field

FIRST_START_MS = 1_700_000_000_000
START_STEP_MS = 1000


@dataclass(frozen=True, slots=True)
class Notice:
    """An answer that says that the upstream leaves, or wants a pause.

    Attributes:
        at_s: Monotonic time at which it was written.
        request_id: Request that it answers.
        incarnation: Number of the upstream's starts by then.
        pause_s: Pause that it asks for; ``None`` if it says that it leaves.
    """

    at_s: float
    request_id: str
    incarnation: int
    pause_s: float | None = None


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """An answer that names the requests a second that the upstream takes.

    Attributes:
        at_s: Monotonic time at which it was written.
        request_id: Request that it answers.
        incarnation: Number of the upstream's starts by then.
        per_s: The limit, for all VMs together.
    """

    at_s: float
    request_id: str
    incarnation: int
    per_s: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that was meant for the upstream.

    Attributes:
        at_s: Monotonic time of arrival.
        request_id: Id of the request.
        incarnation: Number of the upstream's starts by then.
    """

    at_s: float
    request_id: str
    incarnation: int


@dataclass(slots=True)
class UpstreamAvailability:
    """What an upstream says of itself, and what it has said.

    Attributes:
        name: Name of the upstream, which is its first id.
        is_leaving: Whether all of its answers say that it leaves.
        is_refusing: Whether it refuses requests without asking for a pause.
        paused_until_s: Monotonic time until which it refuses requests and asks
            for a pause.
        limit_per_s: Requests a second that all of its answers name as what it
            takes; ``None`` for none.
        incarnation: Number of starts.
        limit_notices: Answers that named a limit.
        notices: Answers that said something of it.
        arrivals: Requests that were meant for it.
        starts_s: Monotonic times of the starts under an id that was in use
            already, by incarnation.
    """

    name: str
    is_leaving: bool = False
    is_refusing: bool = False
    paused_until_s: float = 0.0
    limit_per_s: float | None = None
    incarnation: int = 0
    limit_notices: list[LimitNotice] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    starts_s: dict[int, float] = field(default_factory=dict)
    _id_number: int = 0

    @property
    def id_suffix(self) -> str:
        """Returns what the id of this incarnation has after the name."""
        return f'-{self._id_number}' if self._id_number else ''

    @property
    def started_ms(self) -> int:
        """Returns the start of this incarnation in Unix milliseconds."""
        return FIRST_START_MS + START_STEP_MS * self.incarnation

    def start_anew(self, *, keeps_id: bool) -> None:
        """Begins a new incarnation, which is sound."""
        self.is_leaving = False
        self.limit_per_s = None
        self.incarnation += 1
        if keeps_id:
            self.starts_s[self.incarnation] = time.monotonic()
        else:
            self._id_number += 1

    def record_arrival(self, request_id: str, at_s: float) -> None:
        """Records a request that was meant for this incarnation."""
        self.arrivals.append(Arrival(at_s, request_id, self.incarnation))

    def refusal_headers(self, request_id: str) -> list[str]:
        """Returns the lines that a refusal has besides; records them."""
        lines = self.answer_headers(request_id)
        now_s = time.monotonic()
        pause_s = round(self.paused_until_s - now_s, 3)
        if pause_s > 0:
            lines.append(f'Retry-After: {pause_s}')
            self.notices.append(
                Notice(now_s, request_id, self.incarnation, pause_s)
            )
        return lines

    def answer_headers(self, request_id: str) -> list[str]:
        """Returns the lines that any answer has besides; records them."""
        now_s = time.monotonic()
        lines = []
        if self.is_leaving:
            self.notices.append(Notice(now_s, request_id, self.incarnation))
            lines.append('Server-Leaving: 1')
        if self.limit_per_s is not None:
            self.limit_notices.append(
                LimitNotice(
                    now_s, request_id, self.incarnation, self.limit_per_s
                )
            )
            lines.append(f'Server-Limit: {self.limit_per_s}')
        return lines

    def refuses_requests(self) -> bool:
        """Returns whether requests are refused now."""
        return self.is_refusing or time.monotonic() < self.paused_until_s


__all__ = ('Arrival', 'LimitNotice', 'Notice', 'UpstreamAvailability')
