"""Error margin of the expected time to the first token.

Mean and mean deviation of the error, as for retransmission timeouts: V.
Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
"""

from __future__ import annotations

ERROR_GAIN = 0.1
DEVIATION_GAIN = 0.1
DEVIATIONS = 2.0
"""Mean deviations that the margin adds to the mean error."""

INITIAL_ERROR_S = 0.04
INITIAL_DEVIATION_S = 0.02
MAX_MARGIN_S = 0.3


class FirstTokenMargin:
    """Estimates the margin from expected and measured times."""

    def __init__(self) -> None:
        """Starts from the typical time of a decode step and a few messages."""
        self._error_s = INITIAL_ERROR_S
        self._deviation_s = INITIAL_DEVIATION_S

    @property
    def margin_s(self) -> float:
        """Returns the time to add to an expected time so that few exceed it."""
        margin_s = self._error_s + DEVIATIONS * self._deviation_s
        return min(MAX_MARGIN_S, max(0.0, margin_s))

    def observe(self, *, expected_s: float, actual_s: float) -> None:
        """Records one request's times from its placement to its first token."""
        error_s = actual_s - expected_s
        deviation_s = abs(error_s - self._error_s)
        self._error_s += ERROR_GAIN * (error_s - self._error_s)
        self._deviation_s += DEVIATION_GAIN * (deviation_s - self._deviation_s)


__all__ = ('MAX_MARGIN_S', 'FirstTokenMargin')
