"""Distribution of the published configuration to every node."""

from __future__ import annotations
