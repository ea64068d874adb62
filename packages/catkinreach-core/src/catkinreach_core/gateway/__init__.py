"""Decisions of the gateway: admission, placement, retries and quotas.

Each node decides alone, from what it reads in the store and what its peers
report by gossip.
"""

from __future__ import annotations
