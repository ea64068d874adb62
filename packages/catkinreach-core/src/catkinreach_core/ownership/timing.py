"""Durations of the lease protocol, in seconds."""

from __future__ import annotations

from typing import Final

LEASE_S: Final = 3.0
"""How long a voter keeps a grant, by its own clock from receipt."""

CLOCK_RATE_MARGIN: Final = 0.01
"""Bound on the difference in rate between the clocks of two VMs."""

HOLD_S: Final = LEASE_S * (1 - CLOCK_RATE_MARGIN) - 0.05
"""How long a holder counts on a grant, from before the request was sent."""

SILENCE_S: Final = LEASE_S * (1 + CLOCK_RATE_MARGIN) + 0.05
"""Time after which grants made before it have expired on any clock."""

RENEW_S: Final = 1.0
"""Time between renewals."""

MEMORY_S: Final = 2 * RENEW_S
"""Time a voter needs to hear each owner's renewal, one of them lost."""

ACQUIRE_LIMIT_S: Final = 0.6
"""Time after which an acquisition without a majority is given up."""

MAX_GAP_S: Final = 1.0
"""Longest time between ticks after which a holder still trusts itself."""

__all__ = (
    'ACQUIRE_LIMIT_S',
    'CLOCK_RATE_MARGIN',
    'HOLD_S',
    'LEASE_S',
    'MAX_GAP_S',
    'MEMORY_S',
    'RENEW_S',
    'SILENCE_S',
)
