"""Stand-in of a faulty network: many TCP links in one asyncio process.

Each link listens on a port and forwards bytes to a target. A link can be cut,
drop the bytes of one direction, delay, stall, throttle, half-close or reset.
Bytes within one connection can't be reordered, because TCP keeps their order;
reordering happens between connections only, by different delays.
"""

from __future__ import annotations
