"""Adapter to the users' platform: its headers, formats and store API.

The adapter makes no decisions. Names of the platform's protocols are used
only here; other packages use the types of ``catkinreach_core.gateway``.
"""

from __future__ import annotations
