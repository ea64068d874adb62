"""Who decides for a shard, and for how long."""

from __future__ import annotations
