"""Times and sizes that owners and borrowers of slices agree on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..settings.fleet import Workspace

SLICE_LIFE_S: Final = 1.0
"""Life of a slice on the borrower's clock, from before it asked."""

CLOCK_DRIFT: Final = 0.01
"""Largest relative difference of the rates of two monotonic clocks."""

EXPIRY_MARGIN_S: Final = 0.05
"""Rounding of clocks and timers that an expiry allows for."""

LAPSE_S: Final = SLICE_LIFE_S * (1 + CLOCK_DRIFT) + EXPIRY_MARGIN_S
"""Time on any clock after which a slice lent before it is void."""


@dataclass(frozen=True, slots=True)
class SlicePolicy:
    """How a node borrows; none of it can touch the bound.

    Attributes:
        slice_horizon_s: Demand for which a slice is sized.
        renew_horizon_s: Demand below which the next slice is asked for.
        surplus_horizon_s: Demand beyond which unused units are returned.
        queue_timeout_s: Longest wait while the owner answers.
        recovery_timeout_s: Longest wait while there is no owner or its
            buckets still fill.
        max_refill_wait_s: Time to its units beyond which a request is refused
            at once.
        fixed_share: Part of the burst that every slice has, whatever the
            demand; ``None`` for slices that follow demand.
    """

    slice_horizon_s: float = 0.3
    renew_horizon_s: float = 0.15
    surplus_horizon_s: float = 0.8
    queue_timeout_s: float = 2.0
    recovery_timeout_s: float = 10.0
    max_refill_wait_s: float = 1.0
    fixed_share: float | None = None


@dataclass(frozen=True, slots=True)
class UnitLimit:
    """Rate and burst of one kind of unit."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """Limits of one workspace over all nodes together."""

    requests: UnitLimit
    tokens: UnitLimit

    @property
    def units(self) -> tuple[UnitLimit, UnitLimit]:
        """Returns the limits in the order that messages have."""
        return self.requests, self.tokens

    @classmethod
    def from_workspace(cls, workspace: Workspace) -> WorkspaceLimits:
        """Returns the limits that the settings give a workspace."""
        return cls(
            requests=UnitLimit(
                workspace.requests_per_s, workspace.request_burst
            ),
            tokens=UnitLimit(workspace.tokens_per_s, workspace.token_burst),
        )


__all__ = (
    'CLOCK_DRIFT',
    'EXPIRY_MARGIN_S',
    'LAPSE_S',
    'SLICE_LIFE_S',
    'SlicePolicy',
    'UnitLimit',
    'WorkspaceLimits',
)
