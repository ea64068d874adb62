"""Bound on the extra load that retries may cause.

A token bucket fed by first attempts: B. Beyer et al., "Site Reliability
Engineering", O'Reilly 2016, chapter 21, retries at most 10% of the requests.
"""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries that each first attempt adds to the budget."""

RETRY_RESERVE = 20.0
"""Initial and largest number of retries in the budget."""


class RetryBudget:
    """Token bucket that first attempts fill and retries drain."""

    def __init__(
        self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        """Starts with ``reserve`` tokens, which is also the most it holds."""
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Returns the retries that may be made at once."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Adds the share of a retry that a first attempt allows."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def try_spend(self, retries: int = 1) -> bool:
        """Spends retries; returns False, and spends none, without as many."""
        if self._tokens < retries:
            return False
        self._tokens -= retries
        return True

    def give_back(self) -> None:
        """Adds a retry that was spent but not made."""
        self._tokens = min(self._reserve, self._tokens + 1)


__all__ = ('RETRY_RESERVE', 'RETRY_SHARE', 'RetryBudget')
