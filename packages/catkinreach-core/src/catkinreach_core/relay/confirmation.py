"""Limits how long a node trusts keys that it can't confirm."""

from __future__ import annotations

from typing import Final

TRUST_S: Final = 30.0
"""Age of the fleet's last read after which an isolated node refuses keys."""


def may_trust_keys(age_s: float | None, *, is_connected: bool) -> bool:
    """Returns whether callers' keys may still be trusted.

    A node that reaches a majority of the listed VMs goes on trusting them
    when the configuration service is down: else an outage of that service
    would stop the whole fleet. A node that reaches no majority may be the
    only one that missed the withdrawal of a key.

    Args:
        age_s: Age of the newest successful read of the service by any node,
            ``None`` if this node has no report of one.
        is_connected: Whether the node reaches a majority of the listed VMs.
    """
    return is_connected or (age_s is not None and age_s <= TRUST_S)


__all__ = ('TRUST_S', 'may_trust_keys')
