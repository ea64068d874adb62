"""Stand-ins of the users' platform: its store and its upstreams."""

from __future__ import annotations
