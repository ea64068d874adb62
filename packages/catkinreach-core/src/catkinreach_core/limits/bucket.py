"""The owner's bucket of one kind of unit, and what is lent from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from ..messages.limits import BucketState, Slice
from .parameters import LAPSE_S

if TYPE_CHECKING:
    from ..ids import Incarnation, VmId
    from ..messages.limits import SliceNeed
    from .parameters import UnitLimit

PREFETCH_SHARE: Final = 0.5
"""Part of the level that one ask may take beyond its need."""

FORFEIT_AHEAD_S: Final = 0.5
"""Fill for which claims make room when the bucket is full of them."""


class Borrower(NamedTuple):
    """One life of a node that borrows."""

    vm_id: VmId
    incarnation: Incarnation


@dataclass(slots=True)
class Loan:
    """Units that one borrower may still use."""

    outstanding: float
    last_granted: float
    expires_at_s: float


class LimitBucket:
    """A token bucket whose units are lent before they are used.

    ``level`` plus all that borrowers may still use never exceeds the burst,
    so that no window sees more than the burst and what was filled in it.
    """

    def __init__(
        self,
        limit: UnitLimit,
        *,
        level: float,
        at_s: float,
        adopted: float = 0.0,
    ) -> None:
        """Starts with a level; ``adopted`` units lapse with earlier loans."""
        self._limit = limit
        self._level = level
        self._filled_at_s = at_s
        self._adopted = adopted
        self._adopted_until_s = at_s + LAPSE_S
        self._loans: dict[Borrower, Loan] = {}
        self._clip()

    @property
    def fullness(self) -> float:
        """Returns the part of the burst that is at hand."""
        return self._level / self._limit.burst

    @property
    def outstanding(self) -> float:
        """Returns the units that borrowers may still use."""
        lent = sum(loan.outstanding for loan in self._loans.values())
        return lent + self._adopted

    @property
    def _room(self) -> float:
        return self._limit.burst - self._level - self.outstanding

    def state(self, now_s: float) -> BucketState:
        """Returns what a successor has to know."""
        self._advance(now_s)
        return BucketState(level=self._level, outstanding=self.outstanding)

    def set_limit(self, limit: UnitLimit, now_s: float) -> None:
        """Puts a new rate and burst in force."""
        if limit != self._limit:
            self._advance(now_s)
            self._limit = limit
            self._clip()

    def lend(
        self,
        borrower: Borrower,
        need: SliceNeed,
        now_s: float,
        *,
        is_last_accepted: bool,
    ) -> Slice:
        """Settles what the borrower holds and lends what it lacks."""
        self._advance(now_s)
        self._settle(borrower, need, is_last_accepted=is_last_accepted)
        granted = self._grantable(need)
        self._level -= granted
        self._loans[borrower] = Loan(
            outstanding=need.held + granted,
            last_granted=granted,
            expires_at_s=now_s + LAPSE_S,
        )
        return Slice(
            granted=granted,
            forfeit=min(need.claims, self._forfeit()),
            ready_in_s=self._ready_in_s(need, granted, now_s),
        )

    def _settle(
        self, borrower: Borrower, need: SliceNeed, *, is_last_accepted: bool
    ) -> None:
        """Takes back what came home, at most what is known to be out."""
        loan = self._loans.pop(borrower, None)
        if loan is None:
            return
        home = need.returned
        if not is_last_accepted:
            home += loan.last_granted
        self._level += min(home, max(0.0, loan.outstanding - need.held))
        self._clip()

    def _grantable(self, need: SliceNeed) -> float:
        """Lends nothing that would not let a request go on.

        Units that several nodes gather for large requests would else leave
        each of them short.
        """
        if need.first > self._level:
            return 0.0
        needed = min(need.need, self._level)
        rest = (self._level - needed) * PREFETCH_SHARE
        return max(0.0, needed + min(need.prefetch, rest))

    def _ready_in_s(
        self, need: SliceNeed, granted: float, now_s: float
    ) -> float:
        if need.need <= granted:
            return 0.0
        lacking = max(need.first, need.need - granted) - self._level
        waiting_s = max(0.0, self._filled_at_s - now_s)
        return waiting_s + max(0.0, lacking) / self._limit.rate

    def _forfeit(self) -> float:
        return max(0.0, self._limit.rate * FORFEIT_AHEAD_S - self._room)

    def _advance(self, now_s: float) -> None:
        """Fills up to now; each expiry on the way opens room."""
        for expires_at_s in self._expiries(now_s):
            self._fill(expires_at_s)
            self._drop_expired(expires_at_s)
        self._fill(now_s)

    def _expiries(self, now_s: float) -> list[float]:
        times = {loan.expires_at_s for loan in self._loans.values()}
        if self._adopted:
            times.add(self._adopted_until_s)
        return sorted(at_s for at_s in times if at_s <= now_s)

    def _fill(self, now_s: float) -> None:
        if now_s <= self._filled_at_s:
            return
        filled = self._limit.rate * (now_s - self._filled_at_s)
        self._filled_at_s = now_s
        self._level += max(0.0, min(filled, self._room))

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            borrower
            for borrower, loan in self._loans.items()
            if loan.expires_at_s <= now_s
        ]
        for borrower in expired:
            del self._loans[borrower]
        if self._adopted_until_s <= now_s:
            self._adopted = 0.0

    def _clip(self) -> None:
        most = self._limit.burst - self.outstanding
        self._level = max(0.0, min(self._level, most))


__all__ = ('Borrower', 'LimitBucket')
