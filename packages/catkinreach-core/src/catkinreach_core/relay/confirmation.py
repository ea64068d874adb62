"""Limit on the trust in a configuration that can't be confirmed."""

from __future__ import annotations

from typing import Final

TRUST_S: Final = 30.0
"""Age of the fleet's last read after which a lone node refuses keys."""


def may_trust_keys(age_s: float | None, *, is_connected: bool) -> bool:
    """Returns whether callers' keys may still be trusted.

    A node that reaches a majority of the listed VMs goes on when the service
    is down: else an outage of the service would stop the whole fleet. A node
    that reaches no majority may be the only one that missed a withdrawal.

    Args:
        age_s: Age of the newest read of the service that the node knows of,
            by any node; ``None`` if it knows of none.
        is_connected: Whether the node reaches a majority of the listed VMs.
    """
    return is_connected or (age_s is not None and age_s <= TRUST_S)


__all__ = ('TRUST_S', 'may_trust_keys')
