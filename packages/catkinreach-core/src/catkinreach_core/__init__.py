"""Decision logic of the router, without I/O.

Nothing here reads a clock, opens a socket or draws a random number: callers
pass in the time and every other input.
"""

from __future__ import annotations
