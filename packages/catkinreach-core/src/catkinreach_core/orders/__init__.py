"""Non-idempotent requests run at most once."""

from __future__ import annotations
