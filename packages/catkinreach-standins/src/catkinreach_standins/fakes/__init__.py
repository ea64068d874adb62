"""Short ways to the inputs of the core, for its tests."""

from __future__ import annotations
