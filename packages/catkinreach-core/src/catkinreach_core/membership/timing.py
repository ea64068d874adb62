"""Durations of failure detection, in seconds."""

from __future__ import annotations

from typing import Final

PROBE_PERIOD_S: Final = 0.3
"""Time between two probes of a node."""

DIRECT_TIMEOUT_S: Final = 0.3
"""Wait for a member's own answer before others are asked to probe it."""

INDIRECT_TIMEOUT_S: Final = 0.3
"""Wait for the others' word before the member is suspected."""

SUSPICION_TIMEOUT_S: Final = 0.9
"""Time that a suspected member has to refute before it counts as dead."""

MAX_TICK_GAP_S: Final = 1.0
"""Time between ticks after which a node blames itself for silence."""

INDIRECT_PROBES: Final = 3
"""Members that are asked to probe a silent one."""

DISSEMINATION_PROBES: Final = 3
"""Members told at once of a suspicion or a death."""

MAX_UPDATES: Final = 6
"""Updates that one heartbeat carries."""

UPDATE_ROUNDS_FACTOR: Final = 3
"""Times that an update is sent, as a multiple of log2 of the fleet."""

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
