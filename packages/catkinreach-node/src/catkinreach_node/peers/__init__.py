"""Messages between the nodes over kept TCP streams."""

from __future__ import annotations
