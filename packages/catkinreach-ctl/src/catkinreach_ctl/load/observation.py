"""Client-side measurements of one request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .plan import PlannedRequest

GAP_PERCENTILE = 0.95


class Verdict(Enum):
    """How a request ended.

    ``REFUSED`` is an error with the outcome ``not-run``. Every other request
    without a complete answer is ``BROKEN``.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    BROKEN = 'broken'


@dataclass(slots=True)
class Observation:
    """Measurements of one request; times count from the start of the run.

    Attributes:
        planned: The request as planned.
        sent_at_s: When it was sent.
        first_at_s: When the first token arrived; for an answer that is not
            streamed, when the whole body had arrived.
        ended_at_s: When the exchange ended.
        verdict: How it ended.
        code: Error code or fault of the answer; empty if it was answered.
        status: HTTP status; 0 if no response arrived.
        token_count: Tokens received.
        gaps_s: Times between tokens.
    """

    planned: PlannedRequest
    sent_at_s: float
    first_at_s: float = 0.0
    ended_at_s: float = 0.0
    verdict: Verdict = Verdict.BROKEN
    code: str = ''
    status: int = 0
    token_count: int = 0
    gaps_s: list[float] = field(default_factory=list)

    @property
    def first_token_s(self) -> float:
        """Returns the time from the intended send time to the first token.

        Counting from the intended time avoids coordinated omission.
        """
        return self.first_at_s - self.planned.at_s

    @property
    def latency_s(self) -> float:
        """Returns the time from the intended send time to the end."""
        return self.ended_at_s - self.planned.at_s

    @property
    def between_tokens_s(self) -> float:
        """Returns the 95th percentile of the times between tokens."""
        if not self.gaps_s:
            return 0.0
        ordered = sorted(self.gaps_s)
        rank = min(len(ordered) - 1, int(GAP_PERCENTILE * len(ordered)))
        return ordered[rank]

    @property
    def used_tokens(self) -> int:
        """Returns the tokens of the prompt and of the received answer."""
        return len(self.planned.prompt) + self.token_count


__all__ = ('Observation', 'Verdict')
