"""Membership, shard ownership and configuration relay between nodes."""

from __future__ import annotations
