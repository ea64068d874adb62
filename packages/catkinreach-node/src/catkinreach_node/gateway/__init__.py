"""Gateway process: network I/O and tasks around the rules in core."""

from __future__ import annotations
