"""Core logic of the router, free of I/O: decisions from state, event and time.

Nothing here reads a clock, opens a socket or draws a random number; the
caller passes in the time and every input.
"""

from __future__ import annotations
