"""Idempotency keys that contain their creation time (UUIDv7, RFC 9562)."""

from __future__ import annotations

import uuid

_RANDOM_A_BITS = 12
_RANDOM_B_BITS = 62
_VERSION = 0x7
_VARIANT = 0b10


def uuid7(unix_ms: int, salt: int) -> str:
    """Returns a UUIDv7.

    Args:
        unix_ms: Unix time in milliseconds.
        salt: The 74 random bits of the UUID.
    """
    random_a = salt >> _RANDOM_B_BITS & (1 << _RANDOM_A_BITS) - 1
    random_b = salt & (1 << _RANDOM_B_BITS) - 1
    number = unix_ms << 80
    number |= _VERSION << 76
    number |= random_a << 64
    number |= _VARIANT << 62
    return str(uuid.UUID(int=number | random_b))


__all__ = ('uuid7',)
