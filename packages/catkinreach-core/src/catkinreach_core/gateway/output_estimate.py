"""How much memory streams take beyond their prompts.

Load pattern: callers allow long answers and get short ones, so that memory
set aside for the longest answers stands empty while streams are refused.
"""

from __future__ import annotations

FIRST_SHARE = 0.5
LEAST_SHARE = 0.25
NEWS_WEIGHT = 0.05
"""Part of the estimate that one finished stream replaces."""


class OutputEstimate:
    """Share of the allowed output that streams make, learned as they end."""

    def __init__(self) -> None:
        """Starts with half of what is allowed."""
        self._share = FIRST_SHARE

    @property
    def share(self) -> float:
        """Returns the share, ``LEAST_SHARE`` or more."""
        return max(LEAST_SHARE, self._share)

    def note_finished(self, made_share: float) -> None:
        """Takes the share of its allowed output that a stream has made."""
        self._share += NEWS_WEIGHT * (min(1.0, made_share) - self._share)

    def memory_tokens(self, prompt_tokens: int, output_tokens: int) -> int:
        """Returns the tokens to set aside for a stream."""
        return prompt_tokens + int(output_tokens * self.share)


__all__ = ('OutputEstimate',)
