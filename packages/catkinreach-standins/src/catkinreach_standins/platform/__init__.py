"""Stand-ins of the users' platform: its key-value store and its upstreams."""

from __future__ import annotations
