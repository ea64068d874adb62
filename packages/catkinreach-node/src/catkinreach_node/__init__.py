"""The node process: network I/O and timers around ``catkinreach_core``."""

from __future__ import annotations
