"""The node's part in running orders at most once."""

from __future__ import annotations
