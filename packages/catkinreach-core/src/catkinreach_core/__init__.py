"""Decisions of the router as functions of state, event and time.

Nothing here reads a clock, opens a socket or draws a random number.
"""

from __future__ import annotations
