"""Durations of the lease protocol, in seconds."""

from __future__ import annotations

from typing import Final

LEASE_S: Final = 3.0
"""How long a voter keeps a grant, by its own clock from receipt."""

CLOCK_RATE_MARGIN: Final = 0.01
"""Bound on the difference in rate between the clocks of two VMs."""

HOLDER_LEASE_S: Final = LEASE_S * (1 - CLOCK_RATE_MARGIN) - 0.05
"""How long a holder counts on a grant, from before the request was sent."""

MAX_LEASE_S: Final = LEASE_S * (1 + CLOCK_RATE_MARGIN) + 0.05
"""Time after which grants made before it have expired on any clock."""

RENEW_PERIOD_S: Final = 1.0
"""Time between renewals."""

TERM_COLLECTION_S: Final = 2 * RENEW_PERIOD_S
"""Time a voter needs to hear each owner's renewal, one of them lost."""

ACQUIRE_TIMEOUT_S: Final = 0.6
"""Time after which an acquisition without a majority is given up."""

MAX_TICK_GAP_S: Final = 1.0
"""Longest time between ticks after which a holder still trusts itself."""

__all__ = (
    'ACQUIRE_TIMEOUT_S',
    'CLOCK_RATE_MARGIN',
    'HOLDER_LEASE_S',
    'LEASE_S',
    'MAX_LEASE_S',
    'MAX_TICK_GAP_S',
    'RENEW_PERIOD_S',
    'TERM_COLLECTION_S',
)
