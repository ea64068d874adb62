"""At-most-once execution of orders on a node."""

from __future__ import annotations
