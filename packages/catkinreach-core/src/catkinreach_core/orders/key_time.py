"""Creation time in an idempotency key (UUIDv7, RFC 9562)."""

from __future__ import annotations

import uuid
from typing import Final

_VERSION: Final = 7
_TIME_SHIFT: Final = 80
_MS_PER_S: Final = 1000


def key_created_at_s(idempotency_key: str) -> float | None:
    """Returns the key's Unix time in seconds; ``None`` unless it is UUIDv7."""
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != _VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT) / _MS_PER_S


__all__ = ('key_created_at_s',)
