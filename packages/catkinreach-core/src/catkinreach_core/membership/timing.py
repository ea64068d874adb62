"""Timing and fan-out of failure detection; durations in seconds."""

from __future__ import annotations

from typing import Final

PROBE_PERIOD_S: Final = 0.3
"""Interval at which a node probes some member."""

DIRECT_TIMEOUT_S: Final = 0.3
"""Timeout of a direct probe, after which other members probe the target."""

INDIRECT_TIMEOUT_S: Final = 0.3
"""Timeout of indirect probes, after which the target is suspected."""

SUSPICION_TIMEOUT_S: Final = 0.9
"""Time a suspected member has for a refutation before it is declared dead."""

MAX_TICK_GAP_S: Final = 1.0
"""Longest time between ticks. After a longer gap the node itself was paused, so
it restarts its timers rather than suspect members for missing answers."""

INDIRECT_PROBES: Final = 3
"""Members that are requested to probe a target which missed a direct probe."""

DISSEMINATION_PROBES: Final = 3
"""Members that are probed at once to spread a new suspicion or death."""

MAX_UPDATES: Final = 6
"""Member updates that a heartbeat carries at most."""

UPDATE_ROUNDS_FACTOR: Final = 3
"""Number of times that an update is sent, as a multiple of log2(fleet size)."""

__all__ = (
    'DIRECT_TIMEOUT_S',
    'DISSEMINATION_PROBES',
    'INDIRECT_PROBES',
    'INDIRECT_TIMEOUT_S',
    'MAX_TICK_GAP_S',
    'MAX_UPDATES',
    'PROBE_PERIOD_S',
    'SUSPICION_TIMEOUT_S',
    'UPDATE_ROUNDS_FACTOR',
)
