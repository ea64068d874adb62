"""Orders to the engines of the cells that a node owns."""

from __future__ import annotations
