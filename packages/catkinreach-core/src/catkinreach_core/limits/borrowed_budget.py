"""What a node has borrowed of one kind of unit of one workspace."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..messages.limits import SliceNeed
from .demand import DemandRate

if TYPE_CHECKING:
    from ..messages.limits import Slice
    from .parameters import SlicePolicy

RETURN_ALL_PART: Final = 0.15
"""Part of a holding below which demand lets all of it be returned."""

DUST_UNITS: Final = 1e-9
"""Rounding below which a holding counts as empty."""


@dataclass(slots=True, eq=False)
class Holding:
    """Units of one tenure's loans.

    Attributes:
        term: Term of the tenure that lent them.
        expires_at_s: Borrower's clock after which they are void.
        free: Units that may be used.
        claims: Units that running requests have reserved, oldest first.
    """

    term: int = 0
    expires_at_s: float = 0.0
    free: float = 0.0
    claims: dict[int, float] = field(default_factory=dict)

    @property
    def claimed(self) -> float:
        """Returns the reserved units."""
        return sum(self.claims.values())

    def clear(self) -> None:
        """Drops everything."""
        self.free = 0.0
        self.claims.clear()

    def forfeit(self, units: float) -> None:
        """Counts the oldest claims as used."""
        while units > 0 and self.claims:
            number, claim = next(iter(self.claims.items()))
            if claim > units:
                self.claims[number] = claim - units
                return
            del self.claims[number]
            units -= claim


class BorrowedBudget:
    """Holdings of one kind of unit; the borrower's half of a loan."""

    def __init__(self, policy: SlicePolicy) -> None:
        """Starts with nothing."""
        self._policy = policy
        self._current = Holding()
        self._fading = Holding()
        self.demand = DemandRate()

    @property
    def term(self) -> int:
        """Returns the term of the newest loan."""
        return self._current.term

    def free(self, now_s: float) -> float:
        """Returns the largest cost that could be drawn now."""
        self._expire(now_s)
        return max(self._current.free, self._fading.free)

    def can_draw(self, units: float, now_s: float) -> bool:
        """Tells whether units are at hand; reads the clock's ``now``."""
        return units <= self.free(now_s)

    def draw(self, units: float, number: int, *, is_claim: bool) -> None:
        """Uses units; a claim stays refundable until it is settled."""
        holding = self._current
        if self._fading.free >= units:
            holding = self._fading
        holding.free -= units
        if is_claim:
            holding.claims[number] = units

    def settle(self, number: int, unused: float, now_s: float) -> None:
        """Gives back what a claim did not use, if its loan still lives."""
        self._expire(now_s)
        for holding in (self._current, self._fading):
            claim = holding.claims.pop(number, 0.0)
            holding.free += min(claim, max(0.0, unused))

    def is_idle(self, now_s: float) -> bool:
        """Tells whether nothing is held that a message could save."""
        self._expire(now_s)
        return self._current.free <= DUST_UNITS and not self._current.claims

    def wants_ask(self, now_s: float) -> bool:
        """Tells whether the free units run low for the demand."""
        return (
            self.free(now_s)
            < self.demand.rate(now_s) * self._policy.renew_horizon_s
        )

    def has_surplus(self, now_s: float) -> bool:
        """Tells whether more is held than the demand accounts for."""
        return self._surplus(now_s) > DUST_UNITS

    def state_need(
        self, waiting: float, first: float, burst: float, now_s: float
    ) -> SliceNeed:
        """Returns what is held and wanted; a surplus leaves the budget.

        Args:
            waiting: Units that all waiting requests cost.
            first: Units that the longest waiting request costs.
            burst: Burst of the workspace.
            now_s: Time on the node's clock.
        """
        self._expire(now_s)
        lacking = waiting - self._current.free
        returned = max(0.0, min(self._surplus(now_s), -lacking))
        self._current.free -= returned
        claims = self._current.claimed
        target = self._target(burst, now_s)
        left = max(0.0, self._current.free - max(0.0, lacking))
        return SliceNeed(
            held=self._current.free + claims,
            claims=claims,
            returned=returned,
            need=max(0, math.ceil(lacking)),
            first=max(0.0, first - self._current.free),
            prefetch=max(0.0, target - left) if not returned else 0.0,
        )

    def take(
        self, lent: Slice, term: int, expires_at_s: float, now_s: float
    ) -> None:
        """Adds a slice; the loans of another tenure are left to lapse."""
        self._expire(now_s)
        if term != self._current.term:
            self._fading = self._current
            self._current = Holding(term=term)
        self._current.expires_at_s = expires_at_s
        self._current.free += lent.granted
        self._current.forfeit(lent.forfeit)
        self._expire(now_s)

    def _target(self, burst: float, now_s: float) -> float:
        if self._policy.fixed_share is not None:
            return self._policy.fixed_share * burst
        return self.demand.rate(now_s) * self._policy.slice_horizon_s

    def _surplus(self, now_s: float) -> float:
        if self._policy.fixed_share is not None:
            return 0.0
        keep = self.demand.rate(now_s) * self._policy.surplus_horizon_s
        if keep < self._current.free * RETURN_ALL_PART:
            return self._current.free
        return max(0.0, self._current.free - keep)

    def _expire(self, now_s: float) -> None:
        for holding in (self._current, self._fading):
            if now_s >= holding.expires_at_s:
                holding.clear()


__all__ = ('BorrowedBudget', 'Holding')
