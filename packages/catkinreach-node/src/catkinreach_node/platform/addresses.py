"""Addresses in the platform's documents and settings."""

from __future__ import annotations

from catkinreach_core.ranges import MAX_PORT
from catkinreach_core.settings.node import Address


def read_address(text: str) -> Address:
    """Returns an address that can be connected to.

    Raises:
        ValueError: if it isn't one.
    """
    address = Address.from_text(text)
    if not 0 < address.port <= MAX_PORT:
        raise ValueError(f'port out of range in {text!r}')
    return address


__all__ = ('read_address',)
