"""Orders to engines: which model, version and role each is to have."""

from __future__ import annotations
