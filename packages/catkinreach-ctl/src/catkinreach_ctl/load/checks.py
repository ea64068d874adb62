"""Checks that answers are complete and correct."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .workload import RequestKind

if TYPE_CHECKING:
    from .plan import PlannedRequest


class AnswerCheck(Protocol):
    """Checks answers against what the request should return."""

    def completion_fault(self, planned: PlannedRequest, text: str) -> str:
        """Returns the fault of a completion, empty without one."""

    def plain_fault(self, planned: PlannedRequest, body: bytes) -> str:
        """Returns the fault of a plain service's answer, empty without one."""


class LengthCheck:
    """Checks only the word count, for engines with unpredictable answers."""

    def completion_fault(self, planned: PlannedRequest, text: str) -> str:
        """Returns a fault if the word count is not the requested one."""
        count = len(text.split())
        return '' if count == planned.output_tokens else 'wrong-length'

    def plain_fault(self, planned: PlannedRequest, body: bytes) -> str:
        """Returns a fault if the answer to an order is empty."""
        is_order = planned.request_class.kind is RequestKind.ORDER
        return 'empty-answer' if is_order and not body else ''


__all__ = ('AnswerCheck', 'LengthCheck')
