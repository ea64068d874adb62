"""What a caller saw of one request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .plan import PlannedRequest

GAP_PERCENTILE = 0.95


class Verdict(Enum):
    """How a request ended.

    ``REFUSED`` is a refusal that says ``not-run``; every other end without a
    whole answer is ``BROKEN``.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    BROKEN = 'broken'


@dataclass(slots=True)
class Observation:
    """One request and how it ended; times run from the start of the run.

    Attributes:
        planned: What was to be sent.
        sent_at_s: When it was sent.
        first_at_s: When the first byte of the answer's text came.
        ended_at_s: When the exchange was over.
        verdict: How it ended.
        code: Error code of a refusal or the reason of a break.
        status: HTTP status; 0 without one.
        token_count: Tokens that arrived.
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
        """Returns the time to the first token from the intended sending.

        Counting from the intended time corrects for coordinated omission.
        """
        return self.first_at_s - self.planned.at_s

    @property
    def latency_s(self) -> float:
        """Returns the time to the end from the intended sending."""
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
        """Returns the tokens of the prompt and of what arrived."""
        return len(self.planned.prompt) + self.token_count


__all__ = ('Observation', 'Verdict')
