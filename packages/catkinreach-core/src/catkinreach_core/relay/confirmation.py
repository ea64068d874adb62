"""Limits how long a node accepts API keys that it can't confirm."""

from __future__ import annotations

from typing import Final

KEY_TRUST_S: Final = 30.0
"""Age of the fleet's newest read after which an isolated node refuses all API
keys."""


def may_trust_keys(age_s: float | None, *, is_connected: bool) -> bool:
    """Returns whether callers' API keys may still be accepted.

    A node that reaches a majority of the listed VMs goes on accepting them
    when the configuration service is down: else an outage of that service
    would stop the whole fleet. A node that reaches no majority may be the
    only one that missed the withdrawal of a key.

    Args:
        age_s: Age of the newest successful read of the service by any node,
            ``None`` if this node has no report of one.
        is_connected: Whether the node reaches a majority of the listed VMs.
    """
    return is_connected or (age_s is not None and age_s <= KEY_TRUST_S)


__all__ = ('KEY_TRUST_S', 'may_trust_keys')
