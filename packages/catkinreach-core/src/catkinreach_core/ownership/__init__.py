"""Ownership of shards: at most one node owns a shard, under a lease."""

from __future__ import annotations
