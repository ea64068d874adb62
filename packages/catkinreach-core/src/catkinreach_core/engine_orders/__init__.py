"""Orders that set the model, version and role of engines."""

from __future__ import annotations
