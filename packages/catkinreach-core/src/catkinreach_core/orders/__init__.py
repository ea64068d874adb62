"""At-most-once execution of non-idempotent requests (orders)."""

from __future__ import annotations
