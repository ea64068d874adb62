"""How an answer is judged to be whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .workload import RequestKind

if TYPE_CHECKING:
    from .plan import PlannedRequest


class AnswerCheck(Protocol):
    """Knows what the whole answer to a request is."""

    def completion_fault(self, planned: PlannedRequest, text: str) -> str:
        """Returns what is wrong with a completion; empty if whole."""

    def plain_fault(self, planned: PlannedRequest, body: bytes) -> str:
        """Returns what is wrong with a plain answer; empty if whole."""


class LengthCheck:
    """Checks the count of words alone, for engines with unknown answers."""

    def completion_fault(self, planned: PlannedRequest, text: str) -> str:
        """Returns a fault if the count of words differs."""
        count = len(text.split())
        return '' if count == planned.output_tokens else 'wrong-length'

    def plain_fault(self, planned: PlannedRequest, body: bytes) -> str:
        """Returns a fault if an order has an empty answer."""
        is_order = planned.request_class.kind is RequestKind.ORDER
        return 'empty-answer' if is_order and not body else ''


__all__ = ('AnswerCheck', 'LengthCheck')
