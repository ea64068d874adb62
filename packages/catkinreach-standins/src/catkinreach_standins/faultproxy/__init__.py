"""TCP proxy that simulates network faults on many links in one process.

Each link listens on a port and forwards bytes to a target. It can refuse,
reset or half-close connections, and delay, stall, throttle or drop the bytes
of a direction.
Bytes within one connection can't be reordered, because TCP keeps their order;
reordering happens between connections only, by different delays.
"""

from __future__ import annotations
