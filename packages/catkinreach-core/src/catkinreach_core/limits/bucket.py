"""Token bucket of the owner for one kind of unit, with its leases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from ..messages.limits import BucketState, Slice
from .parameters import SLICE_EXPIRY_S

if TYPE_CHECKING:
    from ..ids import Incarnation, VmId
    from ..messages.limits import SliceNeed
    from .parameters import UnitLimit

PREFETCH_RATIO: Final = 0.5
"""Fraction of the level that a holder may prefetch once its need is met."""

FORFEIT_AHEAD_S: Final = 0.5
"""Capacity for refill, in seconds of the rate, that a bucket keeps free.

If claims fill the bucket, holders forfeit some of them, which then count as
used.
"""


class SliceHolder(NamedTuple):
    """A node that leases units, identified with its incarnation."""

    vm_id: VmId
    incarnation: Incarnation


@dataclass(slots=True)
class SliceLease:
    """Units leased to one holder, which it may use until they expire."""

    outstanding: float
    last_granted: float
    expires_at_s: float


class LimitBucket:
    """A token bucket whose units are leased to nodes before they are used.

    ``level`` plus the units that holders may still use never exceeds the
    burst, so that no time window admits more than the burst plus the refill
    within it.
    """

    def __init__(
        self,
        limit: UnitLimit,
        *,
        level: float,
        at_s: float,
        inherited: float = 0.0,
    ) -> None:
        """Starts with a level.

        ``inherited`` units were granted by the predecessor and expire with
        its slices.
        """
        self._limit = limit
        self._level = level
        self._filled_at_s = at_s
        self._inherited = inherited
        self._inherited_until_s = at_s + SLICE_EXPIRY_S
        self._leases: dict[SliceHolder, SliceLease] = {}
        self._clip_level()

    @property
    def fill_ratio(self) -> float:
        """Returns the level as a fraction of the burst."""
        return self._level / self._limit.burst

    @property
    def outstanding(self) -> float:
        """Returns the units that holders may still use."""
        leased = sum(lease.outstanding for lease in self._leases.values())
        return leased + self._inherited

    @property
    def _free_capacity(self) -> float:
        return self._limit.burst - self._level - self.outstanding

    def state(self, now_s: float) -> BucketState:
        """Returns the level and the outstanding units for a successor."""
        self._refill_and_expire(now_s)
        return BucketState(level=self._level, outstanding=self.outstanding)

    def set_limit(self, limit: UnitLimit, now_s: float) -> None:
        """Applies a new rate and burst."""
        if limit != self._limit:
            self._refill_and_expire(now_s)
            self._limit = limit
            self._clip_level()

    def grant(
        self,
        holder: SliceHolder,
        need: SliceNeed,
        now_s: float,
        *,
        is_last_accepted: bool,
    ) -> Slice:
        """Settles the holder's old lease and grants the units that it needs."""
        self._refill_and_expire(now_s)
        self._settle_lease(holder, need, is_last_accepted=is_last_accepted)
        granted = self._grantable(need)
        self._level -= granted
        self._leases[holder] = SliceLease(
            outstanding=need.held + granted,
            last_granted=granted,
            expires_at_s=now_s + SLICE_EXPIRY_S,
        )
        return Slice(
            granted=granted,
            forfeit=min(need.claims, self._forfeit()),
            ready_in_s=self._ready_in_s(need, granted, now_s),
        )

    def _settle_lease(
        self, holder: SliceHolder, need: SliceNeed, *, is_last_accepted: bool
    ) -> None:
        """Adds returned units to the level, at most what the lease has left.

        Units of a last grant that the holder did not accept return as well.
        """
        lease = self._leases.pop(holder, None)
        if lease is None:
            return
        returned = need.returned
        if not is_last_accepted:
            returned += lease.last_granted
        self._level += min(returned, max(0.0, lease.outstanding - need.held))
        self._clip_level()

    def _grantable(self, need: SliceNeed) -> float:
        """Returns the units to grant; none if the first request needs more.

        Several nodes that collect units for large requests could otherwise
        each hold some while none has enough.
        """
        if need.first > self._level:
            return 0.0
        needed = min(need.need, self._level)
        rest = (self._level - needed) * PREFETCH_RATIO
        return max(0.0, needed + min(need.prefetch, rest))

    def _ready_in_s(
        self, need: SliceNeed, granted: float, now_s: float
    ) -> float:
        if need.need <= granted:
            return 0.0
        missing = max(need.first, need.need - granted) - self._level
        waiting_s = max(0.0, self._filled_at_s - now_s)
        return waiting_s + max(0.0, missing) / self._limit.rate

    def _forfeit(self) -> float:
        """Returns the claimed units to forfeit, so that the bucket refills."""
        return max(
            0.0, self._limit.rate * FORFEIT_AHEAD_S - self._free_capacity
        )

    def _refill_and_expire(self, now_s: float) -> None:
        """Refills up to now; each expiry before then frees capacity."""
        for expires_at_s in self._expiries(now_s):
            self._refill(expires_at_s)
            self._drop_expired(expires_at_s)
        self._refill(now_s)

    def _expiries(self, now_s: float) -> list[float]:
        times = {lease.expires_at_s for lease in self._leases.values()}
        if self._inherited:
            times.add(self._inherited_until_s)
        return sorted(at_s for at_s in times if at_s <= now_s)

    def _refill(self, now_s: float) -> None:
        if now_s <= self._filled_at_s:
            return
        filled = self._limit.rate * (now_s - self._filled_at_s)
        self._filled_at_s = now_s
        self._level += max(0.0, min(filled, self._free_capacity))

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            holder
            for holder, lease in self._leases.items()
            if lease.expires_at_s <= now_s
        ]
        for holder in expired:
            del self._leases[holder]
        if self._inherited_until_s <= now_s:
            self._inherited = 0.0

    def _clip_level(self) -> None:
        max_level = self._limit.burst - self.outstanding
        self._level = max(0.0, min(self._level, max_level))


__all__ = ('LimitBucket', 'SliceHolder')
