"""Open-loop load: arrivals by seed, callers, checks of answers, results."""

from __future__ import annotations
