"""Parameters shared by the owner and the nodes that lease slices."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..settings.fleet import Workspace

SLICE_LIFETIME_S: Final = 1.0
"""Lifetime of a slice on the holder's clock, from when it sent its request."""

CLOCK_DRIFT: Final = 0.01
"""Largest relative drift between two monotonic clocks."""

EXPIRY_MARGIN_S: Final = 0.05
"""Allowance of an expiry for the rounding of clocks and timers."""

SLICE_EXPIRY_S: Final = SLICE_LIFETIME_S * (1 + CLOCK_DRIFT) + EXPIRY_MARGIN_S
"""Time on any clock after which a granted slice has certainly expired."""


@dataclass(frozen=True, slots=True)
class SlicePolicy:
    """When a node leases units and how long its requests wait.

    No value can make the fleet exceed a rate and burst: the owner enforces
    them.

    Attributes:
        slice_horizon_s: Seconds of demand that a slice is sized for.
        renew_horizon_s: Seconds of demand below which a node requests the next
            slice.
        surplus_horizon_s: Seconds of demand above which free units are
            returned.
        queue_timeout_s: Longest time in the queue while the owner answers.
        recovery_timeout_s: Longest time in the queue while the shard has no
            owner or a new owner's buckets still fill.
        max_refill_wait_s: A request is refused at once if its units take
            longer than this to refill.
        fixed_share: Fraction of the burst that every slice has regardless of
            demand; ``None`` to size slices by demand.
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
    """Limits of one workspace, shared by all nodes."""

    requests: UnitLimit
    tokens: UnitLimit

    @property
    def units(self) -> tuple[UnitLimit, UnitLimit]:
        """Returns the limits in message order: requests, then tokens."""
        return self.requests, self.tokens

    @classmethod
    def from_workspace(cls, workspace: Workspace) -> WorkspaceLimits:
        """Returns the limits that the settings define for a workspace."""
        return cls(
            requests=UnitLimit(
                workspace.requests_per_s, workspace.request_burst
            ),
            tokens=UnitLimit(workspace.tokens_per_s, workspace.token_burst),
        )


__all__ = (
    'CLOCK_DRIFT',
    'EXPIRY_MARGIN_S',
    'SLICE_EXPIRY_S',
    'SLICE_LIFETIME_S',
    'SlicePolicy',
    'UnitLimit',
    'WorkspaceLimits',
)
