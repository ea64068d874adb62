"""Adapter to the users' platform: its names, formats and calls.

It decides nothing. Wire names end here; what leaves the package are the
types of ``catkinreach_core.gateway``.
"""

from __future__ import annotations
