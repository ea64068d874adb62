"""Estimate of the memory that streams need for their output.

Load pattern: requests allow long outputs and produce short ones, so that memory
reserved for the longest outputs stays unused while streams are refused.
"""

from __future__ import annotations

INITIAL_RATIO = 0.5
MIN_RATIO = 0.25
SAMPLE_WEIGHT = 0.05
"""Weight of one finished stream in the moving average."""


class OutputEstimate:
    """Moving average of output length relative to the allowed maximum."""

    def __init__(self) -> None:
        """Starts with ``INITIAL_RATIO``."""
        self._ratio = INITIAL_RATIO

    @property
    def ratio(self) -> float:
        """Returns the expected ratio, at least ``MIN_RATIO``."""
        return max(MIN_RATIO, self._ratio)

    def record_output_ratio(self, output_ratio: float) -> None:
        """Records a finished stream's ratio of actual to allowed output."""
        self._ratio += SAMPLE_WEIGHT * (min(1.0, output_ratio) - self._ratio)

    def memory_tokens(self, prompt_tokens: int, output_tokens: int) -> int:
        """Returns the tokens of memory to reserve for a stream."""
        return prompt_tokens + int(output_tokens * self.ratio)


__all__ = ('OutputEstimate',)
