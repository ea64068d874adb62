"""Stand-ins of outside systems for tests and demonstrations."""

from __future__ import annotations
