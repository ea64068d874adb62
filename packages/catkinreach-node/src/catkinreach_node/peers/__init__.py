"""Messages between the nodes over persistent TCP connections."""

from __future__ import annotations
