"""Gateway process: network I/O around ``catkinreach_core.gateway``."""

from __future__ import annotations
