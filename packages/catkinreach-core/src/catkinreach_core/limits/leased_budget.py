"""Units of one kind that a node leases for one workspace."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..messages.limits import SliceNeed
from .demand import DemandRate

if TYPE_CHECKING:
    from ..messages.limits import Slice
    from .parameters import SlicePolicy

RETURN_ALL_RATIO: Final = 0.15
"""Fraction of the free units; if demand needs less, all are returned."""

MIN_UNITS: Final = 1e-9
"""Fewer units count as none; absorbs rounding errors."""


@dataclass(slots=True, eq=False)
class LeasedUnits:
    """Units leased from one tenure of the owner.

    Attributes:
        term: Term of the tenure that granted them.
        expires_at_s: Time on the node's clock at which they expire.
        free: Units that may be used.
        claims: Units reserved by running requests, by request number, oldest
            first.
    """

    term: int = 0
    expires_at_s: float = 0.0
    free: float = 0.0
    claims: dict[int, float] = field(default_factory=dict)

    @property
    def claimed(self) -> float:
        """Returns the units that running requests have reserved."""
        return sum(self.claims.values())

    def drop_all(self) -> None:
        """Drops free and reserved units."""
        self.free = 0.0
        self.claims.clear()

    def forfeit(self, units: float) -> None:
        """Drops units of the oldest claims, which then count as used."""
        while units > 0 and self.claims:
            number, claim = next(iter(self.claims.items()))
            if claim > units:
                self.claims[number] = claim - units
                return
            del self.claims[number]
            units -= claim


class LeasedBudget:
    """Leased units of one kind; the node's side of a slice lease.

    Units of the previous tenure stay usable until they expire.
    """

    def __init__(self, policy: SlicePolicy) -> None:
        """Starts without leased units."""
        self._policy = policy
        self._current = LeasedUnits()
        self._previous = LeasedUnits()
        self.demand = DemandRate()

    @property
    def term(self) -> int:
        """Returns the term of the newest lease."""
        return self._current.term

    def free(self, now_s: float) -> float:
        """Returns the largest cost that a request may have now."""
        self._expire(now_s)
        return max(self._current.free, self._previous.free)

    def can_spend(self, units: float, now_s: float) -> bool:
        """Returns whether that many units are free and have not expired."""
        return units <= self.free(now_s)

    def spend(self, units: float, number: int, *, is_claim: bool) -> None:
        """Spends units; a claim stays refundable until it is settled."""
        leased = self._current
        if self._previous.free >= units:
            leased = self._previous
        leased.free -= units
        if is_claim:
            leased.claims[number] = units

    def settle(self, number: int, unused: float, now_s: float) -> None:
        """Refunds the unused units of a claim unless its lease has expired."""
        self._expire(now_s)
        for leased in (self._current, self._previous):
            claim = leased.claims.pop(number, 0.0)
            leased.free += min(claim, max(0.0, unused))

    def is_idle(self, now_s: float) -> bool:
        """Returns whether no units are left that a renewal could keep."""
        self._expire(now_s)
        return self._current.free <= MIN_UNITS and not self._current.claims

    def needs_renewal(self, now_s: float) -> bool:
        """Returns whether demand soon exceeds the free units."""
        return (
            self.free(now_s)
            < self.demand.rate(now_s) * self._policy.renew_horizon_s
        )

    def has_surplus(self, now_s: float) -> bool:
        """Returns whether more units are free than the demand needs."""
        return self._surplus(now_s) > MIN_UNITS

    def prepare_need(
        self, waiting: float, first: float, burst: float, now_s: float
    ) -> SliceNeed:
        """Returns the needs of the next slice request; removes the surplus.

        Args:
            waiting: Units that all queued requests cost.
            first: Units that the first queued request costs.
            burst: Burst of the workspace.
            now_s: Time on the node's clock.
        """
        self._expire(now_s)
        missing = waiting - self._current.free
        returned = max(0.0, min(self._surplus(now_s), -missing))
        self._current.free -= returned
        claims = self._current.claimed
        target = self._target(burst, now_s)
        left = max(0.0, self._current.free - max(0.0, missing))
        return SliceNeed(
            held=self._current.free + claims,
            claims=claims,
            returned=returned,
            need=max(0, math.ceil(missing)),
            first=max(0.0, first - self._current.free),
            prefetch=max(0.0, target - left) if not returned else 0.0,
        )

    def add_slice(
        self, granted: Slice, term: int, expires_at_s: float, now_s: float
    ) -> None:
        """Adds a granted slice; leases of earlier tenures expire unrenewed."""
        self._expire(now_s)
        if term != self._current.term:
            self._previous = self._current
            self._current = LeasedUnits(term=term)
        self._current.expires_at_s = expires_at_s
        self._current.free += granted.granted
        self._current.forfeit(granted.forfeit)
        self._expire(now_s)

    def _target(self, burst: float, now_s: float) -> float:
        if self._policy.fixed_share is not None:
            return self._policy.fixed_share * burst
        return self.demand.rate(now_s) * self._policy.slice_horizon_s

    def _surplus(self, now_s: float) -> float:
        if self._policy.fixed_share is not None:
            return 0.0
        keep = self.demand.rate(now_s) * self._policy.surplus_horizon_s
        if keep < self._current.free * RETURN_ALL_RATIO:
            return self._current.free
        return max(0.0, self._current.free - keep)

    def _expire(self, now_s: float) -> None:
        for leased in (self._current, self._previous):
            if now_s >= leased.expires_at_s:
                leased.drop_all()


__all__ = ('LeasedBudget', 'LeasedUnits')
