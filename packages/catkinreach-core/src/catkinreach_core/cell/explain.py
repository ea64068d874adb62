"""Recent decisions of a cell, kept for ``catkinreach explain``."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import RequestId

KEPT_DECISIONS = 2000
"""Number of decisions that are stored; the oldest are dropped."""


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """One decision on a request.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
        at_s: Time of the decision by the owner's monotonic clock.
        verdict: ``placed`` or the error code of the refusal.
        why: Explanation for operators.
    """

    request_id: RequestId
    attempt: int
    at_s: float
    verdict: str
    why: str


class DecisionRing:
    """Ring buffer of the last decisions, oldest first."""

    def __init__(self) -> None:
        """Starts empty."""
        self._records: deque[DecisionRecord] = deque(maxlen=KEPT_DECISIONS)

    def add(self, record: DecisionRecord) -> None:
        """Adds a decision and drops the oldest one when full."""
        self._records.append(record)

    def find_by_request(self, request_id: str) -> list[DecisionRecord]:
        """Returns the decisions about one request."""
        return [
            record
            for record in self._records
            if record.request_id == request_id
        ]


__all__ = ('DecisionRecord', 'DecisionRing')
