"""Queue, placement and memory of one cell of engines, as pure decisions."""

from __future__ import annotations
