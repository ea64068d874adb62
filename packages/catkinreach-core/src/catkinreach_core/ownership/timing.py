"""Durations of the lease protocol, in seconds."""

from __future__ import annotations

from typing import Final

LEASE_S: Final = 3.0
"""Lifetime of a grant at its voter, by its own clock from receipt of the
request."""

CLOCK_RATE_MARGIN: Final = 0.01
"""Upper bound on the relative drift between the clocks of two VMs."""

HOLDER_LEASE_S: Final = LEASE_S * (1 - CLOCK_RATE_MARGIN) - 0.05
"""Lifetime of a grant at its holder, from before the request was sent. It is
shorter than ``LEASE_S``, so that the holder stops before the voter may grant
the shard to another node."""

MAX_LEASE_S: Final = LEASE_S * (1 + CLOCK_RATE_MARGIN) + 0.05
"""Time after which a grant has expired by the clock of any VM."""

RENEW_PERIOD_S: Final = 1.0
"""Interval between renewals."""

TERM_COLLECTION_S: Final = 2 * RENEW_PERIOD_S
"""Time in which a new voter receives a renewal from every owner, even if one
renewal of each is lost."""

ACQUIRE_TIMEOUT_S: Final = 0.6
"""Time after which an acquisition without a majority is aborted."""

MAX_TICK_GAP_S: Final = 1.0
"""Longest time between ticks. After a longer gap the process may have been
paused, so a holder no longer acts as owner before its next tick."""

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
